export {type Clock, type Timer, sleep} from './clock.js';
export {ManualClock} from './manual_clock.js';
export {SystemClock} from './system_clock.js';
export {SuspensionAwareClock} from './suspension_aware_clock.js';
