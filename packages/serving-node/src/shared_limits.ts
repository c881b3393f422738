/** The limits that bind all nodes together: of retries, of servers and of teams. */
import {SuspensionAwareClock} from '@mimosatack/clock';
import {
  HostShare,
  type HostsView,
  LimitExchange,
  ServerLimiter,
  type ServerLimiterOptions,
  ServerLimits,
} from '@mimosatack/share-limits';
import {type ServingNodeOptions} from './serving_node_options.js';

export interface SharedLimitsOptions extends Pick<
  ServingNodeOptions,
  'clock' | 'logger' | 'settings'
> {
  /** Unique to this process among all nodes. */
  incarnation: string;
  viewHosts: () => HostsView;
}

/** A change of the nodes has reached all that are in touch after this time. */
const LIST_DELAY_MS = 2_000;

/** One heartbeat: finding it takes longer the more nodes there are. */
const HOLDER_SHARE_TTL_MS = 250;

export class SharedLimits {
  readonly retryShare: HostShare;
  /** Of what all hosts may spend of the quotas of teams without the holder. */
  readonly quotaShare: HostShare;
  readonly servers: ServerLimits;
  readonly exchange: LimitExchange;
  /** For this node's own requests while no node schedules. */
  readonly ownLimiter: ServerLimiter;

  private holderShare = 0;
  private holderShareAtMs = -Infinity;

  constructor(private readonly options: SharedLimitsOptions) {
    const {clock, settings, incarnation, viewHosts} = options;
    const awakeClock = new SuspensionAwareClock(clock);
    this.retryShare = new HostShare({
      clock: awakeClock,
      view: viewHosts,
      settleMs: () => settings.retryBound.windowMs + LIST_DELAY_MS,
    });
    this.quotaShare = new HostShare({
      clock: awakeClock,
      view: viewHosts,
      settleMs: () => settings.quotaBounds.windowMs + LIST_DELAY_MS,
    });
    this.servers = this.makeServerLimits(awakeClock);
    this.exchange = new LimitExchange(this.servers, incarnation);
    this.ownLimiter = new ServerLimiter({
      findLimit: server => this.servers.find(server),
      findShare: () => this.retryShare.lastKnownFraction,
    });
  }

  /** Needs to be called with each heartbeat. */
  observeHosts(): void {
    this.retryShare.observe();
    this.quotaShare.observe();
  }

  /**
   * For the requests of all nodes while this node schedules. A holder that most nodes
   * do not reach may have been replaced, and spends only the share of its host.
   */
  get asHolder(): ServerLimiterOptions {
    return {
      findLimit: server => this.servers.find(server),
      findShare: () => this.findHolderShare(),
    };
  }

  private findHolderShare(): number {
    const {clock, viewHosts} = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.holderShareAtMs < HOLDER_SHARE_TTL_MS) {
      return this.holderShare;
    }
    this.holderShareAtMs = nowMs;
    this.holderShare = viewHosts().isConfirmed
      ? 1
      : this.retryShare.lastKnownFraction;
    return this.holderShare;
  }

  private makeServerLimits(clock: SuspensionAwareClock): ServerLimits {
    const {logger} = this.options;
    return new ServerLimits({
      clock,
      onChange: ({serverId, ...rates}) =>
        logger.log('server-limit-changed', {
          ...{backendServerId: serverId, ...rates},
        }),
      onInvalid: backendServerId =>
        logger.log('server-limit-invalid', {backendServerId}),
    });
  }
}
