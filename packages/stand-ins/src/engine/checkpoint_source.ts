/** Where an engine fetches remote checkpoints from. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type ModelRef} from '@mimosatack/types';
import {Agent, request} from 'undici';
import {type Transfer} from '../platform/transfer_model.js';

const RETRY_MS = 250;

/** A weight store as one engine sees it. */
export interface CheckpointSource {
  /** Calls `onDone` when the checkpoint is there, unless cancelled before. */
  fetch(ref: ModelRef, sizeFactor: number, onDone: () => void): Transfer;
}

/** A store without limits, for engines that run alone. */
export class InstantCheckpointSource implements CheckpointSource {
  constructor(private readonly clock: Clock) {}

  fetch(_ref: ModelRef, _sizeFactor: number, onDone: () => void): Transfer {
    return this.clock.setTimer(0, onDone);
  }
}

/** The weight store of the platform stand-in; failures are tried again. */
export class HttpCheckpointSource implements CheckpointSource {
  // A slow transfer must not run into undici's own timeouts.
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
      await sleep(this.clock, RETRY_MS, signal);
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
