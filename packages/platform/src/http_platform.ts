/** HTTP clients for the host list and the weight store. */
import {type HostEntry} from '@mimosatack/types';
import {z} from 'zod';
import {exchangeJson} from './http_exchange.js';
import {
  type HostList,
  type WeightStore,
  type WeightStoreLimits,
} from './interfaces.js';

const name = z.string().min(1).max(128);

const hostsResponseSchema = z.object({
  hosts: z.array(
    z.object({
      hostId: name,
      role: z.enum(['entry', 'runner', 'service']),
      baseUrl: z.url(),
      pool: name,
      failureDomain: name,
      region: name,
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

const limitsResponseSchema = z.object({
  loadsPerSecond: z.number().positive(),
  fullSpeedLoads: z.number().int().min(1),
});

export interface HttpPlatformOptions {
  baseUrl: string;
  nodeId: string;
  timeoutMs: number;
}

export class HttpHostList implements HostList {
  constructor(private readonly options: HttpPlatformOptions) {}

  async listHosts(): Promise<HostEntry[]> {
    const response = await exchangeJson(
      {
        system: 'host list',
        baseUrl: this.options.baseUrl,
        path: '/v1/hosts',
        method: 'GET',
        headers: {'x-node-id': this.options.nodeId},
        timeoutMs: this.options.timeoutMs,
        unreachableKind: 'platform-unavailable',
      },
      hostsResponseSchema,
    );
    return response.hosts;
  }
}

export class HttpWeightStore implements WeightStore {
  constructor(private readonly options: HttpPlatformOptions) {}

  readLimits(): Promise<WeightStoreLimits> {
    return exchangeJson(
      {
        system: 'weight store',
        baseUrl: this.options.baseUrl,
        path: '/v1/weight-store',
        method: 'GET',
        headers: {'x-node-id': this.options.nodeId},
        timeoutMs: this.options.timeoutMs,
        unreachableKind: 'platform-unavailable',
      },
      limitsResponseSchema,
    );
  }
}
