/** HTTP clients for the control and load interfaces of backend servers. */
import {
  type BackendServerId,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';
import {Agent} from 'undici';
import {z} from 'zod';
import {exchangeJson} from './http_exchange.js';
import {
  type EngineControl,
  type EngineOrder,
  type ServiceMonitor,
} from './interfaces.js';

const name = z.string().min(1).max(256);
const count = z.number().min(0);

const loadReportSchema = z.object({
  runningRequests: count,
  queuedRequests: count,
  maxRunningRequests: count,
  tokensPerSecond: count,
  ageMs: count,
});

const modelRefShape = {model: name, adapter: name.nullable(), version: name};

const engineStateSchema = z.object({
  backendServerId: name,
  incarnation: name,
  fencing: z.enum(['refuses-old', 'ignores']),
  highestFencingNumber: count,
  accelerators: count,
  memoryMib: count,
  replicas: z.array(
    z.object({
      ...modelRefShape,
      slotId: name,
      memoryMib: count,
      status: z.enum(['loading', 'warm', 'unloading']),
      loadMs: count,
      activeRequests: count,
    }),
  ),
  cached: z.array(
    z.object({...modelRefShape, tier: z.enum(['memory', 'disk'])}),
  ),
  load: loadReportSchema,
});

export interface HttpBackendOptions {
  backendServerId: BackendServerId;
  baseUrl: string;
  nodeId: string;
  timeoutMs: number;
}

/** HTTP client for the control interface of one model engine. */
export class HttpEngineControl implements EngineControl {
  readonly backendServerId: BackendServerId;

  constructor(private readonly options: HttpBackendOptions) {
    this.backendServerId = options.backendServerId;
  }

  readState(signal?: AbortSignal): Promise<EngineState> {
    return exchangeJson(
      {...this.requestDefaults(), path: '/v1/state', method: 'GET', signal},
      engineStateSchema,
    );
  }

  /**
   * Uses a new connection for each order: a reused connection could cause the
   * client to resend the order after a reset, or delay it behind a slow response.
   */
  async sendOrder(order: EngineOrder): Promise<void> {
    const dispatcher = new Agent({connections: 1, pipelining: 0});
    try {
      await exchangeJson(
        {
          ...this.requestDefaults(),
          path: '/v1/orders',
          method: 'POST',
          body: JSON.stringify(order),
          dispatcher,
        },
        z.unknown(),
      );
    } finally {
      await dispatcher.destroy();
    }
  }

  private requestDefaults() {
    return makeBackendDefaults('model engine', this.options);
  }
}

/** HTTP client for the load reports of one plain service. */
export class HttpServiceMonitor implements ServiceMonitor {
  readonly backendServerId: BackendServerId;

  constructor(private readonly options: HttpBackendOptions) {
    this.backendServerId = options.backendServerId;
  }

  readLoad(signal?: AbortSignal): Promise<LoadReport> {
    return exchangeJson(
      {
        ...makeBackendDefaults('plain service', this.options),
        path: '/v1/load',
        method: 'GET',
        signal,
      },
      loadReportSchema,
    );
  }
}

function makeBackendDefaults(system: string, options: HttpBackendOptions) {
  return {
    system: `${system} ${options.backendServerId}`,
    baseUrl: options.baseUrl,
    timeoutMs: options.timeoutMs,
    headers: {'x-node-id': options.nodeId},
    unreachableKind: 'backend-unreachable' as const,
  };
}
