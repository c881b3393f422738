export {CallerConnections} from './caller_connections.js';
export {DrainGate, type GateState} from './drain_gate.js';
export {InFlight, type WorkHandle, type WorkInFlight} from './in_flight.js';
export {
  type ForcedStopReason,
  EXIT_CUT_OFF,
  EXIT_STOPPED,
  type ShutdownEvent,
  type ShutdownPhase,
  ShutdownSequence,
  type ShutdownStep,
} from './shutdown_sequence.js';
export {
  type ShutdownActions,
  ShutdownTask,
  type ShutdownTaskOptions,
} from './shutdown_task.js';
