export {type PeriodicTimer, startPeriodic} from './periodic.js';
export {Task, type TaskErrorHandler} from './task.js';
