export {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
} from './engine_fixtures.js';
export {MemoryLogService} from './memory_log_service.js';
export {flushPendingCallbacks} from './settle.js';
export {waitUntil} from './wait_until.js';
