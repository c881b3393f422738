/** A caller that repeats a request through other nodes until it is told. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type Entry, listEntries} from '@mimosatack/demo';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {request} from 'undici';
import {makeUuidV7} from './dated_keys.js';

/** How a caller names its request. */
export type KeyForm = 'ticket' | 'own-key';

/** The last word that a caller was given. */
export type LastWord = 'ran' | 'not-run' | 'unknown' | 'no-answer';

/** One request, with all that its caller was told. */
export interface Operation {
  /** The field by which the service counts runs. */
  id: string;
  form: KeyForm;
  lastWord: LastWord;
  /** Kinds of the refusals, in order. */
  refusals: string[];
  attempts: number;
}

/** What callers share. */
export interface StressContext {
  clock: Clock;
  random: RandomSource;
  token: string;
  /** Base URLs of nodes that are thought to run. */
  listNodes(): string[];
  path: string;
}

interface Reply {
  word: LastWord;
  kind: string;
}

const MAX_ATTEMPTS = 6;
const DEADLINE_MS = 1_500;
/** A caller waits a little longer than the deadline that it names. */
const PATIENCE_MS = 2_500;
const PAUSE_MS = 200;
/** The share of callers that take the first `not-run` for an end. */
const CONTENT_SHARE = 0.5;
/** The share of callers that repeat a request although it was answered. */
const DOUBTFUL_SHARE = 0.2;

/** Sends one request until its outcome is known or the caller gives up. */
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
  const start = await chooseStart(form, operation.id, context);
  let baseUrl = start.baseUrl;
  while (operation.attempts < MAX_ATTEMPTS) {
    const reply = await attempt(baseUrl, start.key, operation, context);
    note(operation, reply);
    if (isContent(reply.word, context.random)) break;
    await sleep(context.clock, PAUSE_MS * context.random.nextFraction());
    baseUrl = pickOne(context.random, context.listNodes()) ?? baseUrl;
  }
  return operation;
}

/** A later `unknown` takes nothing back of what was known before. */
function note(operation: Operation, {word, kind}: Reply): void {
  operation.attempts += 1;
  if (word !== 'ran') operation.refusals.push(`${kind} ${word}`);
  if (operation.lastWord !== 'ran') operation.lastWord = word;
}

function isContent(word: LastWord, random: RandomSource): boolean {
  if (word === 'ran') return random.nextFraction() >= DOUBTFUL_SHARE;
  return word === 'not-run' && random.nextFraction() < CONTENT_SHARE;
}

async function chooseStart(
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

/** Asks one node after the other until one answers. */
async function findEntry(context: StressContext): Promise<Entry> {
  const {clock, random} = context;
  for (;;) {
    const baseUrl = pickOne(random, context.listNodes());
    const entry = pickOne(random, await askForEntries(baseUrl));
    if (entry) return entry;
    await sleep(clock, PAUSE_MS * random.nextFraction());
  }
}

/** A node that is frozen or stopping gives none. */
async function askForEntries(baseUrl: string | undefined): Promise<Entry[]> {
  if (baseUrl === undefined) return [];
  const asked = listEntries(baseUrl)
    .then(entries => entries ?? [])
    .catch(() => []);
  const late = new Promise<Entry[]>(resolve =>
    setTimeout(() => resolve([]), PAUSE_MS),
  );
  return Promise.race([asked, late]);
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
      signal: AbortSignal.timeout(PATIENCE_MS),
    });
    return readReply(response.statusCode, await response.body.json());
  } catch {
    return {word: 'no-answer', kind: 'no-answer'};
  }
}

function readReply(statusCode: number, json: unknown): Reply {
  if (statusCode === 200) return {word: 'ran', kind: 'ok'};
  const {error} = json as {error?: {kind: string; run?: LastWord}};
  return {word: error?.run ?? 'unknown', kind: error?.kind ?? 'none'};
}
