/** How a node takes leave of callers and of other nodes when it stops. */
import {type CallerEdge} from '@mimosatack/caller-edge';
import {type Clock, sleep} from '@mimosatack/clock';
import {type NodeLinks} from '@mimosatack/node-links';
import {type NodeRegister} from './node_register.js';
import {type SchedulingDuty} from './scheduling_duty.js';
import {END_MARGIN_MS, LEAVE_PART, TELL_CALLERS_MS} from './stop_times.js';

/** Whom it takes leave of, and through what. */
export interface NodeDepartureOptions {
  clock: Clock;
  /** How long the stop may take. */
  graceMs: number;
  edge: CallerEdge;
  duty: SchedulingDuty;
  links: NodeLinks;
  register: NodeRegister;
}

/** The steps of one stop. */
export class NodeDeparture {
  private handedOver: Promise<void> = Promise.resolve();
  private requestedAtMs = 0;

  constructor(private readonly options: NodeDepartureOptions) {}

  noteRequested(): void {
    this.requestedAtMs = this.options.clock.monotonicMs();
  }

  /** Callers are sent elsewhere, and the duty is given away. */
  announce(): void {
    const {clock, edge, duty, links} = this.options;
    edge.closeIdle();
    this.handedOver = duty.handOver(() => links.findSuccessor());
    clock.setTimer(TELL_CALLERS_MS, () => edge.stopListening());
  }

  /** Schedules for the others while nobody can take that over. */
  async leave(): Promise<void> {
    const {clock, graceMs, duty, links, register} = this.options;
    const usedMs = clock.monotonicMs() - this.requestedAtMs;
    const leftMs = graceMs - END_MARGIN_MS - usedMs;
    await Promise.race([this.handedOver, sleep(clock, LEAVE_PART * leftMs)]);
    duty.retire();
    links.sayGoodbye();
    await register.leave();
  }
}
