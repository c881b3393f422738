/** The three platform services that run in one process. */
import {type Clock, SystemClock} from '@mimosatack/clock';
import {type ControlTarget} from '../shared/http_server.js';
import {type JsonObject, badRequest} from '../shared/input.js';
import {HostListStandIn} from './host_list.js';
import {LogServiceStandIn} from './log_service.js';
import {WeightStoreStandIn} from './weight_store.js';

/** Settings of the platform stand-in; each is also a command-line flag. */
export interface PlatformOptions {
  port: number;
  /** The number of records retained in each stream. */
  keepRecords: number;
  hostListLagMs: number;
  loadsPerSecond: number;
  fullSpeedLoads: number;
}

export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = {
  port: 0,
  keepRecords: 1_000_000,
  hostListLagMs: 0,
  loadsPerSecond: 7.5,
  fullSpeedLoads: 4,
};

/** The log service, host list and weight store. */
export class PlatformStandIn implements ControlTarget {
  readonly log: LogServiceStandIn;
  readonly hosts: HostListStandIn;
  readonly weightStore: WeightStoreStandIn;

  constructor(
    options: PlatformOptions = DEFAULT_PLATFORM_OPTIONS,
    readonly clock: Clock = new SystemClock(),
  ) {
    const {keepRecords, hostListLagMs, loadsPerSecond, fullSpeedLoads} =
      options;
    this.log = new LogServiceStandIn(clock, keepRecords);
    this.hosts = new HostListStandIn(clock, hostListLagMs);
    this.weightStore = new WeightStoreStandIn(clock, {
      loadsPerSecond,
      fullSpeedLoads,
    });
  }

  observe(): object {
    return {
      log: this.log.observe(),
      hosts: this.hosts.observe(),
      weightStore: this.weightStore.observe(),
    };
  }

  /** Accepts `{"log":{…},"hosts":{…},"weightStore":{…}}`, each optional. */
  setFaults(input: JsonObject): void {
    Object.entries(input).forEach(([service, faults]) =>
      this.findFaults(service).setFromJson(faults as JsonObject),
    );
  }

  reset(): void {
    const services = [this.log, this.hosts, this.weightStore];
    services.forEach(service => service.faults.clear());
    services.forEach(service => service.resetObservation());
  }

  private findFaults(service: string) {
    const found = {
      log: this.log.faults,
      hosts: this.hosts.faults,
      weightStore: this.weightStore.faults,
    }[service];
    if (!found) throw badRequest(`There is no service ${service}.`);
    return found;
  }
}
