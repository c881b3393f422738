/** Finds out whether this host has a path to any backend server. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type RandomSource} from '@mimosatack/random';
import {type SocketAddress, formatAddress} from '@mimosatack/types';

export interface PathListener {
  /** Called when this host loses or regains its path to the servers. */
  onPathChange: (isCutOff: boolean) => void;
}

export interface ServerPathOptions extends PathListener {
  clock: Clock;
  random: RandomSource;
  listServers: () => readonly SocketAddress[];
  /** Resolves with whether a connection to the server can be opened. */
  tryConnect: (address: SocketAddress, timeoutMs: number) => Promise<boolean>;
}

/** A single server that can't be reached says nothing about the path. */
const MIN_FAILED_SERVERS = 2;
/** Servers that are tried before the path counts as lost. */
const CHECKED_SERVERS = 4;
const CHECK_TIMEOUT_MS = 300;
const RECOVERY_CHECK_INTERVAL_MS = 500;

/**
 * The path is lost if connections to two servers have failed since the last one that was
 * opened, and a check of others reaches none.
 */
export class ServerPath {
  isCutOff = false;
  private readonly failed = new Set<string>();
  private check: Promise<void> | null = null;
  private recoveryTimer: Timer | null = null;

  constructor(private readonly options: ServerPathOptions) {}

  recordSuccess(): void {
    this.failed.clear();
    this.setCutOff(false);
  }

  /** Resolves once it is known whether the path is lost. */
  async recordFailure(address: SocketAddress): Promise<void> {
    this.failed.add(formatAddress(address));
    if (this.isCutOff || this.failed.size < MIN_FAILED_SERVERS) return;
    this.check ??= this.checkPath().finally(() => (this.check = null));
    await this.check;
  }

  stop(): void {
    this.recoveryTimer?.cancel();
  }

  private async checkPath(): Promise<void> {
    if (await this.reachesAny(CHECKED_SERVERS)) this.recordSuccess();
    else this.setCutOff(true);
  }

  private async reachesAny(count: number): Promise<boolean> {
    const {tryConnect} = this.options;
    const results = await Promise.all(
      this.pickServers(count).map(address =>
        tryConnect(address, CHECK_TIMEOUT_MS),
      ),
    );
    return results.some(Boolean);
  }

  private pickServers(count: number): SocketAddress[] {
    const {listServers, random} = this.options;
    return listServers()
      .map(address => ({address, rank: random.nextFraction()}))
      .sort((one, other) => one.rank - other.rank)
      .slice(0, count)
      .map(({address}) => address);
  }

  private setCutOff(isCutOff: boolean): void {
    if (isCutOff === this.isCutOff) return;
    this.isCutOff = isCutOff;
    this.recoveryTimer?.cancel();
    if (isCutOff) this.scheduleRecoveryCheck();
    this.options.onPathChange(isCutOff);
  }

  private scheduleRecoveryCheck(): void {
    this.recoveryTimer = this.options.clock.setTimer(
      RECOVERY_CHECK_INTERVAL_MS,
      () => void this.checkRecovery(),
    );
  }

  private async checkRecovery(): Promise<void> {
    const isReached = await this.reachesAny(1);
    if (!this.isCutOff) return;
    if (isReached) this.recordSuccess();
    else this.scheduleRecoveryCheck();
  }
}
