/** Reads whole scores of the standard days out of journal entries. */
import * as z from 'zod';

/** A file of the journal. */
export interface JournalFile {
  name: string;
  text: string;
}

/** One standard day of one score. All figures are shares of what was owed. */
export interface DayFigures {
  name: string;
  /** What users got, less prices. */
  worth: number;
  served: number;
  prices: number;
}

/** One score of one site. */
export interface Round {
  site: string;
  /** When it began, as ISO 8601. */
  startedAt: string;
  days: DayFigures[];
}

/** Entries that can't be read are counted, not guessed. */
export interface ReadRounds {
  /** The oldest first. */
  rounds: Round[];
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

/** A day that was drawn at the run is another one each time, so it is left out. */
const FRESH_DAY = /^fresh-/;

export function readRounds(files: readonly JournalFile[]): ReadRounds {
  const unreadable: string[] = [];
  const rounds = files.flatMap(({name, text}) => {
    try {
      return toRounds(entrySchema.parse(JSON.parse(text)));
    } catch {
      // Told by name: a half-written entry must not hide the others.
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
}: z.infer<typeof daySchema>): DayFigures[] {
  if (worth === null) return [];
  const gross = parts.reduce(
    (sum, [, weight, share]) => sum + weight * share,
    0,
  );
  return [{name, worth, served, prices: gross - worth}];
}
