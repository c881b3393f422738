/** Child processes that are started and stopped together. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {TypedError} from '@mimosatack/errors';

export interface ProgramSpec {
  processName: string;
  /** Path of the script, run with the current Node.js executable. */
  script: string;
  args: readonly string[];
  env?: Readonly<Record<string, string>>;
  /** Parses the line that reports readiness; null for any other line. */
  readReady(line: string): unknown;
}

export interface RunningProgram {
  processName: string;
  pid: number;
  /** The value that `readReady` returned. */
  ready: unknown;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code, or null after a signal. */
  ended: Promise<number | null>;
}

/** Output lines quoted when a program exits before it is ready. */
const MAX_QUOTED_LINES = 20;

export class ProcessGroup {
  private readonly children = new Set<ChildProcess>();

  /** Resolves once the program reports readiness; rejects if it exits first. */
  async start(spec: ProgramSpec): Promise<RunningProgram> {
    const child = spawn(process.execPath, [spec.script, ...spec.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, ...spec.env},
    });
    this.children.add(child);
    const ended = new Promise<number | null>(resolve =>
      child.once('exit', code => {
        this.children.delete(child);
        resolve(code);
      }),
    );
    const ready = await waitForReady(child, spec, ended);
    return {
      processName: spec.processName,
      pid: child.pid ?? -1,
      ready,
      signal: signal => void child.kill(signal),
      ended,
    };
  }

  /** Kills the programs that are still running. */
  async stopAll(): Promise<void> {
    const exits = [...this.children].map(
      child =>
        new Promise<void>(resolve => {
          child.once('exit', () => resolve());
          child.kill('SIGCONT');
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(exits);
  }
}

async function waitForReady(
  child: ChildProcess,
  spec: ProgramSpec,
  ended: Promise<number | null>,
): Promise<unknown> {
  const lines: string[] = [];
  const keep = (line: string) => {
    lines.push(line);
    if (lines.length > MAX_QUOTED_LINES) lines.shift();
  };
  const ready = new Promise<unknown>(resolve => {
    const check = (line: string) => {
      keep(line);
      const value = spec.readReady(line);
      if (value !== null) resolve(value);
    };
    if (child.stdout) createInterface({input: child.stdout}).on('line', check);
    if (child.stderr) createInterface({input: child.stderr}).on('line', keep);
  });
  const exitedEarly = ended.then(code => {
    throw new TypedError(
      'internal',
      `${spec.processName} exited with code ${code} before it was ready:\n${lines.join('\n')}`,
    );
  });
  exitedEarly.catch(() => undefined);
  return Promise.race([ready, exitedEarly]);
}
