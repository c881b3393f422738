export {
  type CheckpointPart,
  assembleCheckpoint,
  decodePart,
  encodeCheckpoint,
} from './checkpoint_parts.js';
export {CheckpointStore} from './checkpoint_store.js';
