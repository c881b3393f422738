/**
 * Derives audit entries from folded records. The recorder keeps its own copy
 * of the contents, because the state has already changed when it is called.
 */
import {type AgreedState, type FoldedRecord} from '@mimosatack/agreed-state';
import {type AgreedRecord, DOCUMENT_KINDS} from '@mimosatack/records';
import {type AuditEntry, type Content} from './audit_entry.js';
import {redactTokens} from './redact_tokens.js';

type Change = Pick<AuditEntry, 'change' | 'kind' | 'id' | 'before' | 'after'>;

/** Derives audit entries; must be called in fold order. */
export class ChangeRecorder {
  private readonly contents = new Map<string, Content>();

  /** Initializes the current contents from a state adopted from elsewhere. */
  reset(state: AgreedState): void {
    this.contents.clear();
    DOCUMENT_KINDS.flatMap(kind => state.configuration.list(kind)).forEach(
      ({kind, id, content}) => this.contents.set(keyOf(kind, id), content),
    );
  }

  /** Returns the entries of the records that operators requested. */
  record(folded: readonly FoldedRecord[]): AuditEntry[] {
    return folded
      .map(item => this.toEntry(item))
      .filter(entry => entry !== null);
  }

  private toEntry(folded: FoldedRecord): AuditEntry | null {
    const {record, outcome} = folded;
    const change = record && this.toChange(record);
    if (!record || !change || isDuplicate(folded)) return null;
    if (outcome.status === 'valid') this.apply(change);
    return {
      sequence: folded.sequence,
      offset: folded.offset,
      recordId: record.recordId,
      author: record.author,
      writtenAtMs: record.writtenAtMs,
      operator: record.operator,
      reason: record.reason,
      ...change,
      teams: listTeams(change),
      outcome,
      before: redactTokens(change.before),
      after: redactTokens(change.after, change.before),
    };
  }

  private toChange({body}: AgreedRecord): Change | null {
    switch (body.type) {
      case 'put-document':
        return {
          change: 'put',
          kind: body.kind,
          id: body.id,
          before: this.contents.get(keyOf(body.kind, body.id)) ?? null,
          after: body.content,
        };
      case 'delete-document':
        return {
          change: 'delete',
          kind: body.kind,
          id: body.id,
          before: this.contents.get(keyOf(body.kind, body.id)) ?? null,
          after: null,
        };
      case 'drain-backend-server':
        return {
          change: body.isDraining ? 'drain' : 'resume',
          kind: 'backend-server',
          id: body.backendServerId,
          before: {isDraining: !body.isDraining},
          after: {isDraining: body.isDraining},
        };
      case 'activate-rules':
        return {
          change: 'activate',
          kind: 'rules',
          id: `version-${body.rulesVersion}`,
          before: null,
          after: {rulesVersion: body.rulesVersion},
        };
      default:
        return null;
    }
  }

  private apply({change, kind, id, after}: Change): void {
    if (change === 'put') this.contents.set(keyOf(kind, id), after);
    if (change === 'delete') this.contents.delete(keyOf(kind, id));
  }
}

/** Authors append a record again when they get no response. */
function isDuplicate({outcome}: FoldedRecord): boolean {
  return outcome.status === 'void' && outcome.reason === 'duplicate';
}

function listTeams({kind, id, before, after}: Change): string[] {
  if (kind === 'team') return [id];
  const teams = [before?.['team'], after?.['team']].filter(
    team => typeof team === 'string',
  );
  return [...new Set(teams)];
}

function keyOf(kind: string, id: string): string {
  return `${kind} ${id}`;
}
