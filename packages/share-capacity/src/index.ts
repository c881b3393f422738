export {DeficitRoundRobin} from './deficit_round_robin.js';
export {type FairOrder} from './fair_order.js';
export {type ShareItem, ANONYMOUS_TEAM} from './share_item.js';
export {VirtualCounters} from './virtual_counters.js';
