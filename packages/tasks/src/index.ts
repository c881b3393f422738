export {type Periodic, startPeriodic} from './periodic.js';
export {Task, type TaskErrorHandler} from './task.js';
