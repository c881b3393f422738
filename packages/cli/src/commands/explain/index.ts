/** `mimosatack explain`. */
import {
  explainRequest,
  formatExplanation,
  parseLog,
} from '@mimosatack/explain-request';
import {Command, Option} from 'clipanion';
import {BaseCommand, type Report, readInputFile} from '../../base_command.js';
import {EXIT_CODES} from '../../exit_codes.js';

export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Say what became of a request, by the logs of the nodes',
    details:
      'Takes the id of a request and the log files of all nodes. Ends with 1 when no line names the request.',
    examples: [['Explain a refusal', '$0 explain 9c41d07be2a35f68 logs/*.log']],
  });

  requestId = Option.String({name: 'request-id'});
  files = Option.Rest({name: 'log-files', required: 1});

  protected async perform(): Promise<Report> {
    const texts = await Promise.all(
      this.files.map(file => readInputFile(this.context, file)),
    );
    const logs = texts.map(parseLog);
    const lines = logs.flatMap(log => log.lines);
    const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
    const explanation = explainRequest(this.requestId, lines);
    const note = `${lines.length} lines read, ${skipped} could not be read.\n`;
    if (!explanation) {
      return {
        json: {requestId: this.requestId, isFound: false, skipped},
        text: `No line names ${this.requestId}. Give the logs of all nodes, also of those that were replaced.\n${note}`,
        exitCode: EXIT_CODES.refused,
      };
    }
    return {
      json: {isFound: true, skipped, ...explanation},
      text: formatExplanation(explanation) + note,
    };
  }
}

export const EXPLAIN_COMMANDS = [ExplainCommand];
