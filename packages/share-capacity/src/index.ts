export {DeficitRoundRobin} from './deficit_round_robin.js';
export {type FairOrder} from './fair_order.js';
export {type ForecastServer} from './held_times.js';
export {type ShareItem, ANONYMOUS_TEAM} from './share_item.js';
export {
  type Forecast,
  type ForecastPool,
  type ForecastScope,
  StartForecast,
} from './start_forecast.js';
export {VirtualCounters} from './virtual_counters.js';
