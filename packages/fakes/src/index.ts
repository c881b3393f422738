export {MemoryLogService} from './memory_log_service.js';
export {waitUntil} from './wait_until.js';
