export {apply, type Change, type ObjectName} from './apply.js';
export {exitCodes, type ExitCode} from './exit-code.js';
export {Output, formatColumns} from './output.js';
export {readDocument} from './document.js';
