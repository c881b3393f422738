export {MeasuringEventLogger} from './measuring_event_logger.js';
