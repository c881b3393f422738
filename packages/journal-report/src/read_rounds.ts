/** Reads score runs of the standard days from journal entries. */
import * as z from 'zod';

export interface JournalFile {
  name: string;
  text: string;
}

/** Metrics of one standard day, as shares of the maximum worth. */
export interface DayMetrics {
  name: string;
  /** Worth delivered to users, less `prices`. */
  worth: number;
  served: number;
  /** Deductions from the gross worth. */
  prices: number;
}

/** One score run of one site. */
export interface Round {
  site: string;
  /** Start time in ISO 8601. */
  startedAt: string;
  days: DayMetrics[];
}

export interface ReadRounds {
  /** Sorted by start time, oldest first. */
  rounds: Round[];
  /** Names of files that are not valid entries. */
  unreadable: string[];
}

const partSchema = z.tuple([z.string(), z.number(), z.number()]);
const daySchema = z.object({
  name: z.string(),
  G: z.number().nullable(),
  served: z.number(),
  parts: z.array(partSchema),
});
const entrySchema = z.object({
  cmd: z.string(),
  at: z.array(z.string()).min(1),
  site: z.string().nullish(),
  fresh: z.unknown(),
  days: z.array(daySchema).nullish(),
});

/** Days that are generated anew for each run, so that runs are not comparable. */
const FRESH_DAY = /^fresh-/;

export function readRounds(files: readonly JournalFile[]): ReadRounds {
  const unreadable: string[] = [];
  const rounds = files.flatMap(({name, text}) => {
    try {
      return toRounds(entrySchema.parse(JSON.parse(text)));
    } catch {
      // A partly written entry must not hide the other entries.
      unreadable.push(name);
      return [];
    }
  });
  rounds.sort((a, b) => a.startedAt.localeCompare(b.startedAt));
  return {rounds, unreadable};
}

function toRounds({cmd, at, site, days}: z.infer<typeof entrySchema>): Round[] {
  const [startedAt] = at;
  if (cmd !== 'score' || !site || !startedAt || !days) return [];
  const standard = days.filter(({name}) => !FRESH_DAY.test(name));
  return [{site, startedAt, days: standard.flatMap(toFigures)}];
}

function toFigures({
  name,
  G: worth,
  served,
  parts,
}: z.infer<typeof daySchema>): DayMetrics[] {
  if (worth === null) return [];
  const gross = parts.reduce(
    (sum, [, weight, share]) => sum + weight * share,
    0,
  );
  return [{name, worth, served, prices: gross - worth}];
}
