/** The backend servers as they have registered themselves. */
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type KeyedChange} from '@mimosatack/keyed-store';
import {type BackendServerEntry, type ServiceName} from '@mimosatack/types';
import {type PlatformAdapter} from './platform_adapter.js';

/** Keeps the newest entry of each server. */
export class BackendRegistry {
  private readonly entries = new Map<string, BackendServerEntry>();

  constructor(
    private readonly platform: Pick<PlatformAdapter, 'decodeServer'>,
    private readonly onFault: (error: TypedError) => void,
  ) {}

  get hasServers(): boolean {
    return this.entries.size > 0;
  }

  /** Servers of a service that may get new work. */
  listReady(service: ServiceName): BackendServerEntry[] {
    return [...this.entries.values()].filter(
      entry => entry.service === service && entry.state === 'ready',
    );
  }

  take(changes: readonly KeyedChange[]): void {
    changes.forEach(({key, value}) => {
      if (value === null) this.entries.delete(key);
      else this.put(key, value);
    });
  }

  /** A record that can't be read leaves the last good one in place. */
  private put(id: string, value: Uint8Array): void {
    try {
      this.entries.set(id, this.platform.decodeServer(id, value));
    } catch (thrown) {
      this.onFault(toTypedError(thrown));
    }
  }
}
