/** The call with which daemons report measured load to the planner of a service. */
import {type Rpc} from './rpc.js';
import {placement} from '#generated/placement.js';

export type LoadMessage = placement.IReportRequest;

/** Reports what the daemon counted. The message is bounded in size, and losing one does no harm. */
export const reportLoad: Rpc<
	placement.IReportRequest,
	placement.IReportAnswer
> = {
	path: '/placement.Placement/Report',
	question: placement.ReportRequest,
	answer: placement.ReportAnswer,
};
