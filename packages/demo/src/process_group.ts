/** Child processes of the demo and the scenarios; they end with it. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {TypedError} from '@mimosatack/errors';

/** A program to start. */
export interface ProgramSpec {
  processName: string;
  /** The script, run by the same Node. */
  script: string;
  args: readonly string[];
  env?: Readonly<Record<string, string>>;
  /** Recognises the line that says the program is ready. */
  readReady(line: string): unknown;
}

/** A program that runs. */
export interface RunningProgram {
  processName: string;
  pid: number;
  /** What the ready line said. */
  ready: unknown;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has ended. */
  ended: Promise<number | null>;
}

const KEPT_LINES = 20;

/** Starts programs and ends those it started. */
export class ProcessGroup {
  private readonly children = new Set<ChildProcess>();

  /** Resolves once the program says that it is ready. */
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

  /** Ends all that still run. */
  async stopAll(): Promise<void> {
    const ends = [...this.children].map(
      child =>
        new Promise<void>(resolve => {
          child.once('exit', () => resolve());
          child.kill('SIGCONT');
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(ends);
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
    if (lines.length > KEPT_LINES) lines.shift();
  };
  const ready = new Promise<unknown>(resolve => {
    const watch = (line: string) => {
      keep(line);
      const value = spec.readReady(line);
      if (value !== null) resolve(value);
    };
    if (child.stdout) createInterface({input: child.stdout}).on('line', watch);
    if (child.stderr) createInterface({input: child.stderr}).on('line', keep);
  });
  const died = ended.then(code => {
    throw new TypedError(
      'internal',
      `${spec.processName} ended with code ${code}:\n${lines.join('\n')}`,
    );
  });
  died.catch(() => undefined);
  return Promise.race([ready, died]);
}
