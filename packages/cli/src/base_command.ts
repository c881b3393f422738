/** Options that every command shares. */
import {TypedError, toTypedError} from '@mimosatack/errors';
import {Command, Option} from 'clipanion';
import {AdminClient} from './admin_client.js';

/** A command that talks to the operators' interface. */
export abstract class BaseCommand extends Command {
  adminUrl = Option.String('--admin-url', {
    env: 'MIMOSATACK_ADMIN_URL',
    description: "Base URL of any node's operators' interface",
  });
  token = Option.String('--token', {
    env: 'MIMOSATACK_TOKEN',
    description: 'Bearer token of the operator',
  });
  isJson = Option.Boolean('--json', false, {
    description: 'Print JSON instead of a table',
  });

  protected makeClient(): AdminClient {
    return new AdminClient({
      baseUrl: requireOption(this.adminUrl, '--admin-url'),
      token: requireOption(this.token, '--token'),
    });
  }

  protected print(value: unknown): void {
    this.context.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
  }

  override catch(thrown: unknown): Promise<void> {
    const error = toTypedError(thrown);
    this.context.stderr.write(
      `${error.kind}: ${error.message}\n${error.remedy}\n`,
    );
    process.exitCode = 1;
    return Promise.resolve();
  }
}

/** The library can't require an option that may come from the environment. */
function requireOption(value: string | undefined, flag: string): string {
  if (value !== undefined && value !== '') return value;
  const variable = `MIMOSATACK_${flag.slice(2).toUpperCase().replace('-', '_')}`;
  throw new TypedError('bad-request', `${flag} is missing.`, {
    remedy: `Give ${flag}, or set ${variable}.`,
  });
}
