export {
  type EngineControl,
  type EngineOrder,
  type HostList,
  type LogPage,
  type LogReadRequest,
  type LogRecord,
  type LogService,
  type ServiceMonitor,
  type WeightStore,
  type WeightStoreLimits,
} from './interfaces.js';
export {
  type HttpBackendOptions,
  HttpEngineControl,
  HttpServiceMonitor,
} from './http_backend.js';
export {
  HttpLogService,
  type HttpLogServiceOptions,
} from './http_log_service.js';
export {
  HttpHostList,
  type HttpPlatformOptions,
  HttpWeightStore,
} from './http_platform.js';
