/** Sources from which an engine fetches remote checkpoints. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type ModelRef} from '@mimosatack/types';
import {Agent, request} from 'undici';
import {type Transfer} from '../platform/transfer_model.js';

const RETRY_DELAY_MS = 250;

/** A weight store as used by one engine. */
export interface CheckpointSource {
  /** Calls `onDone` once the checkpoint is fetched, unless cancelled. */
  fetch(ref: ModelRef, sizeFactor: number, onDone: () => void): Transfer;
}

/** A store without rate limits, for engines without a platform. */
export class InstantCheckpointSource implements CheckpointSource {
  constructor(private readonly clock: Clock) {}

  fetch(_ref: ModelRef, _sizeFactor: number, onDone: () => void): Transfer {
    return this.clock.setTimer(0, onDone);
  }
}

/** Fetches from the platform stand-in; retries until success or cancel. */
export class HttpCheckpointSource implements CheckpointSource {
  // undici's default timeouts would abort a slow transfer.
  private readonly agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

  constructor(
    private readonly clock: Clock,
    private readonly platformUrl: string,
    private readonly nodeId: string,
  ) {}

  fetch(ref: ModelRef, sizeFactor: number, onDone: () => void): Transfer {
    const abort = new AbortController();
    void this.fetchUntilDone(ref, sizeFactor, abort.signal).then(() => {
      if (!abort.signal.aborted) onDone();
    });
    return {cancel: () => abort.abort()};
  }

  private async fetchUntilDone(
    ref: ModelRef,
    sizeFactor: number,
    signal: AbortSignal,
  ): Promise<void> {
    const body = JSON.stringify({...ref, sizeFactor});
    while (!signal.aborted && !(await this.tryFetch(body, signal))) {
      await sleep(this.clock, RETRY_DELAY_MS, signal);
    }
  }

  private async tryFetch(body: string, signal: AbortSignal): Promise<boolean> {
    try {
      const answer = await request(
        `${this.platformUrl}/v1/weight-store/fetch`,
        {
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-node-id': this.nodeId,
          },
          body,
          signal,
          dispatcher: this.agent,
        },
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
