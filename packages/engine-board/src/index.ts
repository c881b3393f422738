export {
  type BackendReport,
  EngineBoard,
  type WarmReplica,
} from './engine_board.js';
