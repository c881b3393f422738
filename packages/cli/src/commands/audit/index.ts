/** `mimosatack audit`. */
import {Command, Option} from 'clipanion';
import {type AuditEntryResponse, auditPageSchema} from '../../responses.js';
import {AdminCommand, type Report, parseCount} from '../../base_command.js';
import {describeDifference} from '../../print/difference.js';
import {formatTable} from '../../print/table.js';
import {formatTime} from '../../print/times.js';

const DEFAULT_LIMIT = 50;

export class AuditCommand extends AdminCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show who changed what, when and why, newest first',
    examples: [
      [
        'All changes of one template',
        '$0 audit --kind template --id window --diff',
      ],
      [
        'The changes of a day',
        '$0 audit --from 2026-05-01T00:00:00Z --to 2026-05-02T00:00:00Z',
      ],
    ],
  });

  kind = Option.String('--kind', {
    description: 'team, model, service, template, event, backend-server',
  });
  subjectId = Option.String('--id', {
    description: 'Only of this id',
  });
  operator = Option.String('--operator', {
    description: 'Only by this operator',
  });
  from = Option.String('--from', {
    description: 'From this time on',
  });
  to = Option.String('--to', {description: 'Before this time'});
  limit = Option.String('--limit', {
    description: `How many at most; ${DEFAULT_LIMIT} when left out`,
  });
  cursor = Option.String('--cursor', {
    description: 'nextCursor of the page before',
  });
  shouldDiff = Option.Boolean('--diff', false, {
    description: 'Show what each change changed',
  });

  protected async perform(): Promise<Report> {
    const limit = parseCount(this.limit, '--limit') ?? DEFAULT_LIMIT;
    const {kind, subjectId: id, operator, from, to, cursor} = this;
    const client = await this.connect();
    const page = await client.send(
      {
        method: 'GET',
        path: '/admin/v1/audit',
        query: {kind, id, operator, from, to, limit, cursor},
      },
      auditPageSchema,
    );
    if (page.note !== null) this.writeToStderr(page.note);
    const text = this.shouldDiff
      ? page.items.map(formatEntry).join('')
      : formatEntries(page.items);
    const more =
      page.nextCursor === null
        ? ''
        : `There are more: --cursor ${page.nextCursor}\n`;
    return {json: page, text: text + more};
  }
}

export const AUDIT_COMMANDS = [AuditCommand];

function formatEntries(entries: readonly AuditEntryResponse[]): string {
  return formatTable(entries, [
    {title: 'time', read: entry => formatTime(entry.writtenAtMs)},
    {title: 'operator', read: entry => entry.operator},
    {title: 'change', read: entry => entry.change},
    {title: 'what', read: entry => `${entry.kind} ${entry.id}`},
    {title: 'outcome', read: describeOutcome},
    {title: 'reason', read: entry => entry.reason},
  ]);
}

function formatEntry(entry: AuditEntryResponse): string {
  const head =
    `${formatTime(entry.writtenAtMs)} ${entry.operator ?? '-'} ` +
    `${entry.change} ${entry.kind} ${entry.id}: ${describeOutcome(entry)}` +
    (entry.reason === null ? '' : ` (${entry.reason})`);
  const lines = describeDifference(entry.before, entry.after);
  return [head, ...lines.map(line => `  ${line}`), ''].join('\n');
}

function describeOutcome({outcome}: AuditEntryResponse): string {
  return outcome.status === 'valid'
    ? 'in force'
    : `refused, ${outcome.reason ?? 'void'}`;
}
