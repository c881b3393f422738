export {
  AdmissionController,
  type AdmissionDecision,
  type AdmissionOptions,
  type RefusedQueuedRequest,
} from './admission_controller.js';
export {AdmissionGate, type Permit, type Target} from './admission_gate.js';
export {CallerDisconnected} from './caller_disconnected.js';
export {FairQueue} from './fair_queue.js';
export {
  type AdmissionRequest,
  type ReplicaAvailability,
  type Refusal,
  type RefusalKind,
  type TeamLimits,
  type WorkClass,
} from './types.js';
