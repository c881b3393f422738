/** Provides stewards with load time estimates and drain limits. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {LoadTimeEstimates, estimateSlotLoad} from '@mimosatack/plan-warming';
import {
  type DrainLimits,
  type ExpectedLoadTimes,
} from '@mimosatack/steward-orders';

/** Assumed maximum difference between the clocks of two nodes. */
const CLOCK_SKEW_MS = 500;
/** Assumed maximum time until a change is applied on every node. */
const FOLD_LAG_MS = 4_000;

export interface StewardHintsOptions {
  clock: Clock;
  follower: LogFollower;
  board: EngineBoard;
  maxDeadlineMs: number;
}

/** Learns load times from every report on the board. */
export class StewardHints {
  readonly loadTimes = new LoadTimeEstimates();
  readonly drain: DrainLimits;

  constructor(private readonly options: StewardHintsOptions) {
    this.drain = {
      clockSkewMs: CLOCK_SKEW_MS,
      foldLagMs: FOLD_LAG_MS,
      maxRequestMs: options.maxDeadlineMs,
    };
    options.board.onChange(({engine, reportedAtMs}) => {
      if (engine) this.loadTimes.observe(engine, reportedAtMs);
    });
  }

  /** What is currently known about the loads of a slot. */
  findLoadTimes(slot: Slot): ExpectedLoadTimes {
    const {clock, follower} = this.options;
    const {configuration} = follower.state;
    return estimateSlotLoad(
      slot,
      this.loadTimes,
      configuration,
      clock.wallMs(),
    );
  }
}
