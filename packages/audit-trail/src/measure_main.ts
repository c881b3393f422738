/** Measures size and encoding time of the audit trail at the target scale. */
import {type AuditEntry} from './audit_entry.js';
import {encodeSegment} from './audit_segment.js';
import {NewestMatches} from './find_entries.js';

const CHANGES_PER_DAY = 970;
const DAYS = 90;
const ENTRIES_PER_SEGMENT = 200;
const NEEDS_PER_TEMPLATE = 6;

const content = (version: number) => ({
  team: `team-${version % 40}`,
  description: 'A window in which families are served',
  parameters: {
    start: {type: 'time', description: 'When the window opens'},
    replicas: {type: 'number', default: 1, min: 1, max: 4 + (version % 3)},
  },
  event: {
    startsAt: '${start}',
    durationMinutes: 30 + (version % 60),
    needs: Array.from({length: NEEDS_PER_TEMPLATE}, (_unused, index) => ({
      model: `model-${(version * 7 + index) % 260}`,
      adapters: [`adapter-${(version * 31 + index) % 6_800}`],
      replicas: '${replicas}',
    })),
  },
});

const entries = Array.from(
  {length: CHANGES_PER_DAY * DAYS},
  (_unused, index): AuditEntry => ({
    sequence: index + 1,
    offset: index,
    recordId: `entry-${index % 370}.0a1b2c3d-${index}`,
    author: `entry-${index % 370}.0a1b2c3d`,
    writtenAtMs: 1_800_000_000_000 + index * 89_000,
    operator: `team-${index % 40}/operator-${index % 7}`,
    reason: 'a wider window for the holiday',
    change: 'put',
    kind: 'template',
    id: `template-${index % 400}`,
    teams: [`team-${index % 40}`],
    outcome: {status: 'valid'},
    before: content(index),
    after: content(index + 1),
  }),
);

const startedAtMs = performance.now();
let segmentBytes = 0;
const newest = new NewestMatches({id: 'template-7', limit: 100});
for (let from = 0; from < entries.length; from += ENTRIES_PER_SEGMENT) {
  const part = entries.slice(from, from + ENTRIES_PER_SEGMENT);
  segmentBytes += encodeSegment({
    appendedAtMs: 0,
    copiedFrom: [],
    entries: part,
  }).byteLength;
  newest.add(part);
}
const single = encodeSegment({
  appendedAtMs: 0,
  copiedFrom: [],
  entries: entries.slice(0, 1),
});
const jsonBytes = JSON.stringify(entries.slice(0, 1_000)).length / 1_000;
process.stdout.write(
  `${JSON.stringify({
    entries: entries.length,
    jsonBytesPerEntry: Math.round(jsonBytes),
    singleSegmentBytes: single.byteLength,
    bytesPerEntryInSegments: Math.round(segmentBytes / entries.length),
    streamMebibytes: Number((segmentBytes / 2 ** 20).toFixed(1)),
    encodeMs: Math.round(performance.now() - startedAtMs),
    found: newest.toPage().items.length,
  })}\n`,
);
