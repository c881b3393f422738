/** Options of a serving node. */
import {type BackendConnections} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {type PrometheusMetrics} from '@mimosatack/metrics';
import {type RandomSource} from '@mimosatack/random';
import {type NodeSettings} from './node_settings.js';
import {type PlatformAdapter} from './platform_adapter.js';

/** Settings and services that the program passes to the node. */
export interface ServingNodeOptions {
  settings: NodeSettings;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  platform: PlatformAdapter;
  connections: BackendConnections;
  metrics: PrometheusMetrics;
}
