export {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
} from './engine_fixtures.js';
export {MemoryLogService} from './memory_log_service.js';
export {
  type OddField,
  ODD_ADDRESSES,
  ODD_COUNTS,
  ODD_DURATIONS,
  ODD_NAMES,
  ODD_RECORDS,
  listOddRecords,
  makeDeepArray,
  makeDeepObject,
  makeManyItems,
  replaceField,
} from './odd_values.js';
export {flushPendingCallbacks} from './settle.js';
export {waitUntil} from './wait_until.js';
