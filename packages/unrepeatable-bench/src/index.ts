export {type CallerTally, tallyOutcomes} from './stress_report.js';
export {type Operation} from './stress_caller.js';
