export {EngineBoard} from './engine_board.js';
export {
  type BackendReport,
  type EngineStatus,
  type LoadSample,
  type ReportVersion,
  type SlotContent,
  type SlotLookup,
  type WarmReplica,
  compareVersions,
  hashText,
} from './report.js';
