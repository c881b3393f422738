/** A caller that retries a request through other nodes until it is answered. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type CallerEndpoint, listEntries} from '@mimosatack/demo';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {request} from 'undici';
import {makeUuidV7} from './dated_keys.js';

/** Whether a caller's key comes from a ticket or is its own UUID. */
export type KeyForm = 'ticket' | 'own-key';

/** The outcome of a request, as last reported to its caller. */
export type ReportedOutcome = 'ran' | 'not-run' | 'unknown' | 'no-answer';

/** One request with the answers that its caller received. */
export interface Operation {
  /** The field by which the service counts runs. */
  id: string;
  form: KeyForm;
  lastWord: ReportedOutcome;
  /** Kinds of the refusals, in order. */
  refusals: string[];
  attempts: number;
}

export interface StressContext {
  clock: Clock;
  random: RandomSource;
  token: string;
  /** Base URLs of the nodes that are assumed to run. */
  listNodes(): string[];
  path: string;
}

interface Reply {
  outcome: ReportedOutcome;
  kind: string;
}

const MAX_ATTEMPTS = 6;
const DEADLINE_MS = 1_500;
/** Client-side timeout, longer than the deadline sent with the request. */
const CALLER_TIMEOUT_MS = 2_500;
const MAX_RETRY_PAUSE_MS = 200;
/** Fraction of `not-run` replies after which a caller stops retrying. */
const STOP_FRACTION = 0.5;
/** Fraction of `ran` replies after which a caller repeats the request. */
const REPEAT_FRACTION = 0.2;

/** Sends one request until its caller stops or runs out of attempts. */
export async function runOperation(
  index: number,
  context: StressContext,
): Promise<Operation> {
  const form: KeyForm = index % 2 === 0 ? 'ticket' : 'own-key';
  const operation: Operation = {
    id: `op-${index}`,
    form,
    lastWord: 'no-answer',
    refusals: [],
    attempts: 0,
  };
  const target = await chooseTarget(form, operation.id, context);
  let baseUrl = target.baseUrl;
  while (operation.attempts < MAX_ATTEMPTS) {
    const reply = await attempt(baseUrl, target.key, operation, context);
    recordReply(operation, reply);
    if (stopsRetrying(reply.outcome, context.random)) break;
    await sleep(
      context.clock,
      MAX_RETRY_PAUSE_MS * context.random.nextFraction(),
    );
    baseUrl = pickOne(context.random, context.listNodes()) ?? baseUrl;
  }
  return operation;
}

/** Keeps `ran` once reported: a later reply cannot revoke it. */
function recordReply(operation: Operation, {outcome, kind}: Reply): void {
  operation.attempts += 1;
  if (outcome !== 'ran') operation.refusals.push(`${kind} ${outcome}`);
  if (operation.lastWord !== 'ran') operation.lastWord = outcome;
}

function stopsRetrying(
  outcome: ReportedOutcome,
  random: RandomSource,
): boolean {
  if (outcome === 'ran') return random.nextFraction() >= REPEAT_FRACTION;
  return outcome === 'not-run' && random.nextFraction() < STOP_FRACTION;
}

async function chooseTarget(
  form: KeyForm,
  id: string,
  context: StressContext,
): Promise<{baseUrl: string; key: string}> {
  const entry = await findEntry(context);
  const key =
    form === 'ticket'
      ? `${entry.keyPrefix}${id}`
      : makeUuidV7(context.clock.wallMs());
  return {baseUrl: entry.baseUrl, key};
}

/** Queries random nodes until one returns an entry. */
async function findEntry(context: StressContext): Promise<CallerEndpoint> {
  const {clock, random} = context;
  for (;;) {
    const baseUrl = pickOne(random, context.listNodes());
    const entry = pickOne(random, await fetchEntries(baseUrl));
    if (entry) return entry;
    await sleep(clock, MAX_RETRY_PAUSE_MS * random.nextFraction());
  }
}

/** The entries of a node; empty if it is frozen or stopping. */
async function fetchEntries(
  baseUrl: string | undefined,
): Promise<CallerEndpoint[]> {
  if (baseUrl === undefined) return [];
  const fetched = listEntries(baseUrl)
    .then(entries => entries ?? [])
    .catch(() => []);
  const timedOut = new Promise<CallerEndpoint[]>(resolve =>
    setTimeout(() => resolve([]), MAX_RETRY_PAUSE_MS),
  );
  return Promise.race([fetched, timedOut]);
}

async function attempt(
  baseUrl: string,
  key: string,
  {id}: Operation,
  {token, path}: StressContext,
): Promise<Reply> {
  try {
    const response = await request(baseUrl + path, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${token}`,
        'idempotency-key': key,
        'x-request-timeout-ms': String(DEADLINE_MS),
      },
      body: JSON.stringify({id}),
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    });
    return readReply(response.statusCode, await response.body.json());
  } catch {
    return {outcome: 'no-answer', kind: 'no-answer'};
  }
}

function readReply(statusCode: number, json: unknown): Reply {
  if (statusCode === 200) return {outcome: 'ran', kind: 'ok'};
  const {error} = json as {error?: {kind: string; run?: ReportedOutcome}};
  return {outcome: error?.run ?? 'unknown', kind: error?.kind ?? 'none'};
}
