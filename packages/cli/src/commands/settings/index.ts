/** `mimosatack settings check`. */
import {toTypedError} from '@mimosatack/errors';
import {formatSettings, parseSettings} from '@mimosatack/settings';
import {Command, Option} from 'clipanion';
import {BaseCommand, type Report} from '../../base_command.js';
import {EXIT_CODES} from '../../exit_codes.js';

export class CheckSettingsCommand extends BaseCommand {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Check the settings of mimosatackd without starting it',
    details:
      'Takes the flags of `mimosatackd` and its environment variables, and prints every fault, or the settings in force without secrets.',
    examples: [
      ['Check flags', '$0 settings check --node-name entry-1 --region pomorze'],
    ],
  });

  flags = Option.Proxy({name: 'flags of mimosatackd'});

  protected perform(): Promise<Report> {
    const flags = this.flags.filter(flag => flag !== '--');
    try {
      const settings = parseSettings(flags, this.context.env);
      const text = `The settings are valid.\n${formatSettings(settings)}\n`;
      return Promise.resolve({json: {isValid: true}, text});
    } catch (thrown) {
      const error = toTypedError(thrown);
      return Promise.resolve({
        json: {isValid: false, faults: error.details.info?.['faults']},
        text: `${error.summary}\n`,
        exitCode: EXIT_CODES.refused,
      });
    }
  }
}

export const SETTINGS_COMMANDS = [CheckSettingsCommand];
