/** The streaming call that stays open between two daemons and carries their small calls. */
import {type Rpc} from './rpc.js';
import {shared} from '#generated/shared.js';

export type QuestionMessage = shared.IQuestion;
export type AnswerMessage = shared.IAnswer;
export type QuestionsMessage = shared.IQuestions;
export type AnswersMessage = shared.IAnswers;

/** A bidirectional stream: frames of questions one way, frames of answers the other. */
export const carry: Rpc<QuestionsMessage, AnswersMessage> = {
	path: '/shared.Shared/Carry',
	question: shared.Questions,
	answer: shared.Answers,
};
