/** Options, output and error handling that all commands share. */
import {
  type TypedError,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import {Command, Option, UsageError} from 'clipanion';
import {AdminClient} from './admin_client.js';
import {EXIT_CODES, toExitCode} from './exit_codes.js';
import {type ToolContext} from './tool_context.js';

/** The output of a command and its exit code. */
export interface Report {
  /** Printed with `--json`. */
  json: unknown;
  /** Printed without `--json`. */
  text: string;
  exitCode?: number;
}

const REQUEST_TIMEOUT_MS = 30_000;

/** A command that prints a report, as text or as JSON. */
export abstract class BaseCommand extends Command<ToolContext> {
  isJson = Option.Boolean('--json', false, {
    description: 'Print JSON instead of text',
  });

  override async execute(): Promise<number> {
    try {
      const report = await this.perform();
      this.context.stdout.write(
        this.isJson ? `${JSON.stringify(report.json, null, 2)}\n` : report.text,
      );
      return report.exitCode ?? EXIT_CODES.ok;
    } catch (thrown) {
      return this.fail(thrown);
    }
  }

  protected abstract perform(): Promise<Report>;

  protected writeToStderr(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  private fail(thrown: unknown): number {
    if (thrown instanceof UsageError) {
      this.writeToStderr(`usage: ${thrown.message}`);
      return EXIT_CODES.usage;
    }
    const error = toTypedError(thrown);
    this.writeToStderr(this.isJson ? toJson(error) : toText(error));
    return toExitCode(error);
  }
}

/** A command that calls the admin API. */
export abstract class AdminCommand extends BaseCommand {
  adminUrls = Option.Array('--admin-url', {
    description:
      "Base URL of a node's operators' interface; may be given several times, and the next is tried when one is down",
  });
  token = Option.String('--token', {
    env: 'MIMOSATACK_TOKEN',
    description: 'Bearer token; better given as MIMOSATACK_TOKEN',
  });
  caFile = Option.String('--ca-file', {
    env: 'MIMOSATACK_CA_FILE',
    description: 'PEM file with certificates to trust',
  });

  override async execute(): Promise<number> {
    const code = await super.execute();
    await this.client?.close();
    return code;
  }

  private client: AdminClient | null = null;

  protected async connect(): Promise<AdminClient> {
    if (this.client) return this.client;
    const baseUrls = this.adminUrls ?? [
      this.context.env['MIMOSATACK_ADMIN_URL'] ?? '',
    ];
    this.client = new AdminClient({
      baseUrls: parseUrls(baseUrls),
      token: requireText(this.token, '--token', 'MIMOSATACK_TOKEN'),
      timeoutMs: REQUEST_TIMEOUT_MS,
      trustedCertificates:
        this.caFile === undefined
          ? undefined
          : await readInputFile(this.context, this.caFile),
    });
    return this.client;
  }
}

/** Reads a file; a file that cannot be read is a usage error. */
export async function readInputFile(
  context: ToolContext,
  path: string,
): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    throw new UsageError(`${path} can't be read: ${reason}`);
  }
}

/** Parses a non-negative integer. */
export function parseCount(
  text: string | undefined,
  flag: string,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError(`${flag} takes a whole number, not "${text}".`);
}

function parseUrls(texts: readonly string[]): string[] {
  const urls = texts
    .flatMap(text => text.split(','))
    .map(text => text.trim())
    .filter(text => text !== '');
  requireText(urls[0], '--admin-url', 'MIMOSATACK_ADMIN_URL');
  const invalid = urls.find(url => !/^https?:\/\/[^/]+/.test(url));
  if (invalid === undefined) return urls;
  throw new UsageError(
    `--admin-url takes a URL such as http://10.0.0.5:7081; not "${invalid}".`,
  );
}

function requireText(
  text: string | undefined,
  flag: string,
  variable: string,
): string {
  if (text !== undefined && text !== '') return text;
  throw new UsageError(`Give ${flag}, or set ${variable}.`);
}

function toJson(error: TypedError): string {
  return JSON.stringify(formatErrorBody(error));
}

function toText(error: TypedError): string {
  return `${error.kind}: ${error.message}\n${error.remedy}`;
}
