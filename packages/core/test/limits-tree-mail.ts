/** The messages between daemons and homes at two levels. */
import {type ReceivedAnswer, type LoanAsk} from '../src/index.js';

/** Whether a daemon asks for itself or as the home of its group. */
export type Lender = 'daemon' | 'home';

type Envelope = {
	readonly lender: Lender;
	readonly from: number;
	readonly fromRun: number;
	readonly home: string;
	readonly askedAt: number;
};

export type Message =
	| (Envelope & {readonly kind: 'ask'; readonly ask: LoanAsk})
	| (Envelope & {
			readonly kind: 'answer';
			readonly answer: ReceivedAnswer['answer'];
	  });
