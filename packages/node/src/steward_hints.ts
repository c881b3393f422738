/** What stewards are told of load times and of requests that still run. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {LoadTimeEstimates, makeLoadOutlook} from '@mimosatack/plan-warming';
import {type DrainLimits, type LoadOutlook} from '@mimosatack/steward-orders';

/** How far the clocks of two nodes may differ. */
const CLOCK_SKEW_MS = 500;
/** How long a change may take to be in force on every node. */
const FOLD_LAG_MS = 4_000;

/** What the hints are made from. */
export interface StewardHintsOptions {
  clock: Clock;
  follower: LogFollower;
  board: EngineBoard;
  maxDeadlineMs: number;
}

/** Learns from every report that the board takes. */
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

  /** What is known of the loads of a slot now. */
  outlook(slot: Slot): LoadOutlook {
    const {clock, follower} = this.options;
    const {configuration} = follower.state;
    return makeLoadOutlook(slot, this.loadTimes, configuration, clock.wallMs());
  }
}
