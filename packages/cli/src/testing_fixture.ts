/** Test fixture that runs the tool against the admin API of one node. */
import {PassThrough} from 'node:stream';
import {AuditTrail} from '@mimosatack/audit-trail';
import {hashToken} from '@mimosatack/authenticate';
import {SystemClock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {MemoryLogService} from '@mimosatack/fakes';
import {LogFollower} from '@mimosatack/follow-log';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type NodeView, buildOperatorServer} from '@mimosatack/serve-operators';
import {Cli} from 'clipanion';
import {runTool} from './index.js';

/** A token with all permissions. */
export const ADMIN = 'admin-token';

/** The output and exit code of one command. */
export interface ToolRun {
  exitCode: number;
  stdout: string;
  stderr: string;
}

/** Creates a context with files and environment variables in memory. */
export function createContext(
  files: Readonly<Record<string, unknown>> = {},
  env: Readonly<Record<string, string>> = {},
) {
  return {
    ...Cli.defaultContext,
    stdout: new PassThrough({encoding: 'utf8'}),
    stderr: new PassThrough({encoding: 'utf8'}),
    env: {...env},
    clock: new SystemClock(),
    makeToken: () => 'a-new-token',
    readFile: (path: string) =>
      Object.hasOwn(files, path)
        ? Promise.resolve(toText(files[path]))
        : Promise.reject(new Error('no such file')),
  };
}

/** Runs the tool with files and environment variables in memory. */
export async function runWith(
  argv: readonly string[],
  files: Readonly<Record<string, unknown>> = {},
  env: Readonly<Record<string, string>> = {},
): Promise<ToolRun> {
  const context = createContext(files, env);
  const exitCode = await runTool(argv, context);
  return {
    exitCode,
    stdout: String(context.stdout.read() ?? ''),
    stderr: String(context.stderr.read() ?? ''),
  };
}

/** Starts a node on an in-memory log service and points the tool at it. */
export async function createFixture() {
  const clock = new SystemClock();
  const log = new MemoryLogService();
  const incarnation = 'entry-1.a';
  const follower = new LogFollower({
    clock,
    random: new SeededRandom(1),
    logger: new MemoryEventLogger(),
    log,
    stream: 'decisions',
    incarnation,
    longPollMs: 1_000,
    retryDelayMs: 5,
  });
  const audit = new AuditTrail(
    {
      clock,
      log,
      incarnation,
      isResponsible: () => true,
      missingEntryGraceMs: 60_000,
      copyAfterMs: 3_600_000,
      retentionMs: 3_600_000,
    },
    () => undefined,
  );
  follower.onFold(folded => audit.recordChanges(folded));
  const nodes: NodeView[] = [];
  const server = buildOperatorServer({
    clock,
    logger: new MemoryEventLogger(),
    nodeName: 'entry-1',
    release: '0.1.0',
    follower,
    board: new EngineBoard(),
    audit,
    bootstrapTokenHash: hashToken(ADMIN),
    submitTimeoutMs: 500,
    maxBodyBytes: 65_536,
    state: () => follower.state,
    listNodes: () => nodes,
    fetchNextOffset: () => Promise.resolve(null),
    makeRequestId: () => 'request-1',
    isStopping: () => false,
  });
  await follower.start({
    states: [],
    appends: {pullAppends: () => Promise.resolve([])},
  });
  const baseUrl = await server.listen({host: '127.0.0.1', port: 0});
  const env = {MIMOSATACK_ADMIN_URL: baseUrl, MIMOSATACK_TOKEN: ADMIN};
  const run = (
    line: string,
    files: Readonly<Record<string, unknown>> = {},
    changes: Readonly<Record<string, string>> = {},
  ) => runWith(line.split(' '), files, {...env, ...changes});
  const close = async () => {
    await server.close();
    await audit.stop();
    await follower.stop();
  };
  return {run, baseUrl, nodes, follower, close};
}

/** A node in the list that has not reported a log offset. */
export function makeUnresponsiveNode(nodeName: string): NodeView {
  return {
    nodeName,
    incarnation: `${nodeName}.x`,
    status: 'alive',
    failureDomain: 'slupsk',
    callerBaseUrl: '',
    adminBaseUrl: '',
    release: '0.1.0',
    nextOffset: null,
  };
}

function toText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content);
}
