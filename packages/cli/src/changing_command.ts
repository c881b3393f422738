/** Base classes of commands that make a change or wait for a condition. */
import {sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {Option} from 'clipanion';
import {type z} from 'zod';
import {type AdminRequest} from './admin_client.js';
import {
  type AcceptedResponse,
  acceptedSchema,
  inForceSchema,
} from './responses.js';
import {AdminCommand, parseCount} from './base_command.js';

const DEFAULT_TIMEOUT_SECONDS = 30;
const SECOND_MS = 1_000;
const POLL_INTERVAL_MS = 250;

/** A command that polls for a condition and reports progress on stderr. */
export abstract class WaitingCommand extends AdminCommand {
  timeoutSeconds = Option.String('--timeout-seconds', {
    description: `How long to wait; ${DEFAULT_TIMEOUT_SECONDS} when left out`,
  });

  /** Polls until `poll` resolves with a value other than null, or times out. */
  protected async waitFor<T>(
    what: string,
    poll: () => Promise<T | null>,
  ): Promise<T> {
    const {clock} = this.context;
    const timeoutSeconds =
      parseCount(this.timeoutSeconds, '--timeout-seconds') ??
      DEFAULT_TIMEOUT_SECONDS;
    const endMs = clock.monotonicMs() + timeoutSeconds * SECOND_MS;
    for (;;) {
      const found = await poll();
      if (found !== null) return found;
      if (clock.monotonicMs() >= endMs) throw makeTimeout(what, timeoutSeconds);
      await sleep(clock, POLL_INTERVAL_MS);
    }
  }
}

/** A command that makes one change through the admin API. */
export abstract class ChangingCommand extends WaitingCommand {
  reason = Option.String('--reason', {
    description: 'Why, for the audit trail',
  });
  shouldWait = Option.Boolean('--wait', false, {
    description: 'Wait until the change is in force on all live nodes',
  });

  /** Sends the change and, with `--wait`, waits until it is in force. */
  protected async apply(plan: AdminRequest): Promise<AcceptedResponse> {
    return this.applyAs(plan, acceptedSchema);
  }

  protected async applyAs<T extends AcceptedResponse>(
    plan: AdminRequest,
    schema: z.ZodType<T>,
  ): Promise<T> {
    const client = await this.connect();
    const accepted = await client.send(plan, schema);
    if (this.shouldWait) await this.waitInForce(accepted.sequence);
    return accepted;
  }

  private async waitInForce(sequence: number): Promise<void> {
    const client = await this.connect();
    let lastLine = '';
    await this.waitFor('the change to be in force everywhere', async () => {
      const view = await client.send(
        {method: 'GET', path: '/admin/v1/in-force', query: {sequence}},
        inForceSchema,
      );
      const total = view.nodes.length;
      const done = total - view.missingNodes.length;
      const missing = view.missingNodes.join(', ');
      const line =
        `in force on ${done} of ${total} nodes` +
        (missing === '' ? '' : `; not on ${missing}`);
      if (line !== lastLine) this.writeToStderr(line);
      lastLine = line;
      return view.isInForceEverywhere ? true : null;
    });
  }
}

function makeTimeout(what: string, timeoutSeconds: number): TypedError {
  return new TypedError(
    'deadline-exceeded',
    `Waited ${timeoutSeconds} s in vain for ${what}.`,
    {remedy: 'Wait longer with --timeout-seconds, or look at `status`.'},
  );
}
