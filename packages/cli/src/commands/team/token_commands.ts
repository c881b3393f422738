/** `mimosatack team token add` and `team token remove`. */
import {TOKEN_ROLES} from '@mimosatack/agreed-state';
import {hashToken} from '@mimosatack/authenticate';
import {Command, Option, UsageError} from 'clipanion';
import {type Report} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {planAddToken, planRemoveToken} from '../../plans/team_plans.js';
import {readDocument} from '../document/read_version.js';

/** Generates a token, stores its hash and prints the token once. */
export class AddTokenCommand extends ChangingCommand {
  static override paths = [['team', 'token', 'add']];
  static override usage = Command.Usage({
    category: 'Documents',
    description: 'Make a token for a team and print it once',
    details: `Only the hash of the token is stored; nobody can show it again. Roles: ${TOKEN_ROLES.join(', ')}; docs/operators/roles.md says what each may do.`,
  });

  team = Option.String({name: 'team'});
  tokenName = Option.String({name: 'name'});
  role = Option.String('--role', {
    required: true,
    description: TOKEN_ROLES.join(', '),
  });

  protected async perform(): Promise<Report> {
    const role = TOKEN_ROLES.find(known => known === this.role);
    if (!role) {
      throw new UsageError(`--role takes ${TOKEN_ROLES.join(', ')}.`);
    }
    const client = await this.connect();
    const team = await readDocument(client, 'team', this.team);
    const token = this.context.makeToken();
    const tokenHash = hashToken(token);
    const accepted = await this.apply(
      planAddToken(
        team,
        {name: this.tokenName, role, tokenHash},
        this.reason ?? `token ${this.tokenName} added`,
      ),
    );
    const json = {...accepted, team: this.team, name: this.tokenName, token};
    return {json, text: `${token}\n`};
  }
}

export class RemoveTokenCommand extends ChangingCommand {
  static override paths = [['team', 'token', 'remove']];
  static override usage = Command.Usage({
    category: 'Documents',
    description: 'Remove a token of a team',
  });

  team = Option.String({name: 'team'});
  tokenName = Option.String({name: 'name'});

  protected async perform(): Promise<Report> {
    const client = await this.connect();
    const team = await readDocument(client, 'team', this.team);
    const accepted = await this.apply(
      planRemoveToken(
        team,
        this.tokenName,
        this.reason ?? `token ${this.tokenName} removed`,
      ),
    );
    const text = `token ${this.tokenName} of team ${this.team} is removed.\n`;
    return {json: accepted, text};
  }
}
