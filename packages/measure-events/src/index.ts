export {MetricsEventLogger} from './measuring_event_logger.js';
