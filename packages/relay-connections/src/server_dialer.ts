/** Opens connections to backend servers, from this host or through another one. */
import {type Socket} from 'node:net';
import {
  type ConnectionDialer,
  type DialTerms,
  type DialedSocket,
  createUnreachableError,
} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource} from '@mimosatack/random';
import {type FailureDomain, type SocketAddress} from '@mimosatack/types';
import {type ServerPath} from './server_path.js';

/** Another host that may relay. */
export interface RelayHelper {
  peerAddress: string;
  failureDomain: FailureDomain;
}

export interface ServerDialerOptions {
  clock: Clock;
  random: RandomSource;
  path: ServerPath;
  ownDomain: FailureDomain;
  openDirect: (address: SocketAddress, timeoutMs: number) => Promise<Socket>;
  /** Rejects with `backend-unreachable` if the helper can't reach the server. */
  openRelayed: (
    helper: RelayHelper,
    address: SocketAddress,
    timeoutMs: number,
  ) => Promise<Socket>;
  listHelpers: () => readonly RelayHelper[];
}

/** Helpers that are tried for one connection. */
const MAX_HELPERS = 2;
/** A helper that could not relay is not asked again for this long. */
const HELPER_COOLDOWN_MS = 2_000;

export class ServerDialer implements ConnectionDialer {
  private readonly failedUntilMs = new Map<string, number>();

  constructor(private readonly options: ServerDialerOptions) {}

  async connect(
    address: SocketAddress,
    {timeoutMs, mustBeDirect}: DialTerms,
  ): Promise<DialedSocket> {
    const {path, openDirect} = this.options;
    if (!path.isCutOff) {
      try {
        const socket = await openDirect(address, timeoutMs);
        path.recordSuccess();
        return {socket, relayedBy: null};
      } catch (thrown) {
        await path.recordFailure(address);
        if (!path.isCutOff) throw thrown;
      }
    }
    if (mustBeDirect) {
      throw createUnreachableError('This host reaches no backend server.');
    }
    return this.relay(address, timeoutMs);
  }

  private async relay(
    address: SocketAddress,
    timeoutMs: number,
  ): Promise<DialedSocket> {
    let lastError = createUnreachableError('No other host can relay.');
    for (const helper of this.pickHelpers()) {
      try {
        const socket = await this.options.openRelayed(
          ...([helper, address, timeoutMs] as const),
        );
        return {socket, relayedBy: helper.peerAddress};
      } catch (thrown) {
        lastError = toTypedError(thrown);
        if (lastError.kind === 'backend-unreachable') break;
        this.recordHelperFailure(helper);
      }
    }
    throw asUnreachable(lastError);
  }

  /** Hosts in other failure domains first, as a cut mostly affects one domain. */
  private pickHelpers(): RelayHelper[] {
    const {clock, random, ownDomain, listHelpers} = this.options;
    const nowMs = clock.monotonicMs();
    return listHelpers()
      .filter(
        ({peerAddress}) => (this.failedUntilMs.get(peerAddress) ?? 0) <= nowMs,
      )
      .map(helper => ({
        helper,
        rank:
          random.nextFraction() + (helper.failureDomain === ownDomain ? 1 : 0),
      }))
      .sort((one, other) => one.rank - other.rank)
      .slice(0, MAX_HELPERS)
      .map(({helper}) => helper);
  }

  private recordHelperFailure({peerAddress}: RelayHelper): void {
    const nowMs = this.options.clock.monotonicMs();
    [...this.failedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([known]) => this.failedUntilMs.delete(known));
    this.failedUntilMs.set(peerAddress, nowMs + HELPER_COOLDOWN_MS);
  }
}

/** No byte of a call is written before a connection is open. */
function asUnreachable(error: TypedError): TypedError {
  return error.kind === 'backend-unreachable'
    ? error
    : createUnreachableError(error.summary, error);
}
