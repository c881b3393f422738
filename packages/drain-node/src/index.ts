export {DrainGate, type GateState} from './drain_gate.js';
export {InFlight, type WorkHandle, type WorkInFlight} from './in_flight.js';
export {
  type CutReason,
  EXIT_CUT_OFF,
  EXIT_STOPPED,
  type ShutdownInput,
  type ShutdownPhase,
  ShutdownSequence,
  type ShutdownStep,
} from './shutdown_sequence.js';
export {
  type ShutdownActions,
  ShutdownTask,
  type ShutdownTaskOptions,
} from './shutdown_task.js';
