/** Reads scenarios from TOML: a deployment, its traffic and its faults. */
import {
  type DeploymentSpec,
  type KindName,
  NO_FAULTS,
  type PlayFaults,
  type TrafficSpec,
} from '@mimosatack/bench-scheduling';
import {TypedError} from '@mimosatack/errors';
import {parse} from 'smol-toml';
import * as z from 'zod';

/** Worth of one answer, in the same unit for all kinds of requests. */
export interface KindWorth {
  onTime: number;
  late: number;
}

/** A validated scenario file. */
export interface Scenario {
  name: string;
  deployment: DeploymentSpec;
  traffic: TrafficSpec;
  worths: Readonly<Record<KindName, KindWorth>>;
  faults: PlayFaults;
}

const positiveInteger = z.number().int().positive();
const positiveNumber = z.number().positive();
const fraction = z.number().min(0).max(1);

const kindSchema = z.strictObject({
  priority: z.number().int().nonnegative(),
  due_ms: positiveNumber,
  patience_ms: positiveNumber,
  gap_ms: positiveNumber,
  prompt_tokens: positiveInteger,
  output_tokens: positiveInteger,
  worth: z.number().nonnegative(),
  late_worth: z.number().nonnegative(),
});

const deploymentSchema = z.strictObject({
  engines: positiveInteger,
  slots: positiveInteger,
  memory_mb: positiveNumber,
  models: positiveInteger,
  adapters_per_hot_model: z.number().int().nonnegative(),
  models_on_disk: positiveInteger,
  step_ms: positiveNumber,
  step_ms_per_request: z.number().nonnegative(),
  prompt_tokens_per_ms: positiveNumber,
  store_loads_per_second: positiveNumber,
  tokens_per_event: positiveInteger,
  small_disk_load_ms: positiveNumber,
  large_disk_load_ms: positiveNumber,
});

const trafficSchema = z.strictObject({
  duration_ms: positiveNumber,
  chats_per_second: z.number().nonnegative(),
  drafts_per_second: z.number().nonnegative(),
  tags_per_second: z.number().nonnegative(),
  draft_burst: z.number().min(1),
  hot_models: positiveInteger,
  shift_every_ms: positiveNumber,
});

const faultsSchema = z.strictObject({
  lost_answers: fraction.default(0),
  late_orders: fraction.default(0),
  takeovers_at_ms: z.array(z.number().nonnegative()).default([]),
  losses: z
    .array(
      z.strictObject({
        engine: z.number().int().nonnegative(),
        at_ms: z.number().nonnegative(),
        for_ms: positiveNumber,
      }),
    )
    .default([]),
});

const scenarioSchema = z
  .strictObject({
    name: z.string().min(1),
    deployment: deploymentSchema,
    kinds: z.strictObject({
      chat: kindSchema,
      draft: kindSchema,
      tag: kindSchema,
    }),
    traffic: trafficSchema,
    faults: faultsSchema.optional(),
  })
  .superRefine(({deployment, traffic, faults}, context) => {
    const reportIssue = (path: string[], message: string) =>
      context.addIssue({code: 'custom', path, message});
    if (traffic.hot_models > deployment.models) {
      reportIssue(['traffic', 'hot_models'], 'more than there are models');
    }
    if (deployment.models_on_disk > deployment.models) {
      reportIssue(
        ['deployment', 'models_on_disk'],
        'more than there are models',
      );
    }
    faults?.losses.forEach(({engine}, at) => {
      if (engine < deployment.engines) return;
      reportIssue(
        ['faults', 'losses', `${at}`, 'engine'],
        'there is no such engine',
      );
    });
  });

type KindFields = z.infer<typeof kindSchema>;

/**
 * Parses and validates a scenario.
 *
 * @param source file name for error messages.
 * @throws TypedError of kind `bad-request` that lists all errors of the file.
 */
export function readScenario(text: string, source: string): Scenario {
  const parsed = scenarioSchema.safeParse(parseToml(text, source));
  if (!parsed.success) {
    const messages = parsed.error.issues.map(
      ({path, message}) => `${path.join('.') || 'file'}: ${message}`,
    );
    throw makeScenarioError(source, messages.join('; '));
  }
  const {name, deployment, kinds, traffic, faults} = parsed.data;
  return {
    name,
    deployment: toDeployment(name, deployment),
    traffic: toTraffic(traffic, kinds),
    worths: {
      chat: toWorth(kinds.chat),
      draft: toWorth(kinds.draft),
      tag: toWorth(kinds.tag),
    },
    faults: faults ? toFaults(faults) : NO_FAULTS,
  };
}

function parseToml(text: string, source: string): unknown {
  try {
    return parse(text);
  } catch (thrown) {
    throw makeScenarioError(
      source,
      thrown instanceof Error ? thrown.message : '',
    );
  }
}

function makeScenarioError(source: string, problem: string): TypedError {
  return new TypedError('bad-request', `${source}: ${problem}`, {
    remedy: 'Correct the file; the scenarios of run-experiments are examples.',
  });
}

function toDeployment(
  name: string,
  fields: z.infer<typeof deploymentSchema>,
): DeploymentSpec {
  return {
    name,
    engineCount: fields.engines,
    slots: fields.slots,
    memoryMb: fields.memory_mb,
    modelCount: fields.models,
    adaptersPerHotModel: fields.adapters_per_hot_model,
    modelsOnDisk: fields.models_on_disk,
    stepMs: fields.step_ms,
    stepMsPerRequest: fields.step_ms_per_request,
    promptTokensPerMs: fields.prompt_tokens_per_ms,
    storeLoadsPerSecond: fields.store_loads_per_second,
    tokensPerEvent: fields.tokens_per_event,
    diskLoadMs: {
      small: fields.small_disk_load_ms,
      large: fields.large_disk_load_ms,
    },
  };
}

function toTraffic(
  fields: z.infer<typeof trafficSchema>,
  kinds: Readonly<Record<KindName, KindFields>>,
): TrafficSpec {
  return {
    kinds: {
      chat: toKind(kinds.chat),
      draft: toKind(kinds.draft),
      tag: toKind(kinds.tag),
    },
    durationMs: fields.duration_ms,
    chatsPerSecond: fields.chats_per_second,
    draftsPerSecond: fields.drafts_per_second,
    tagsPerSecond: fields.tags_per_second,
    draftBurst: fields.draft_burst,
    hotModels: fields.hot_models,
    shiftEveryMs: fields.shift_every_ms,
  };
}

function toKind(fields: KindFields): TrafficSpec['kinds'][KindName] {
  return {
    priority: fields.priority,
    dueMs: fields.due_ms,
    patienceMs: fields.patience_ms,
    gapMs: fields.gap_ms,
    promptTokens: fields.prompt_tokens,
    outputTokens: fields.output_tokens,
  };
}

function toWorth({worth, late_worth}: KindFields): KindWorth {
  return {onTime: worth, late: late_worth};
}

function toFaults(fields: z.infer<typeof faultsSchema>): PlayFaults {
  return {
    lostAnswers: fields.lost_answers,
    lateOrders: fields.late_orders,
    takeoversAtMs: fields.takeovers_at_ms,
    losses: fields.losses.map(({engine, at_ms, for_ms}) => ({
      ...{engine, atMs: at_ms, forMs: for_ms},
    })),
  };
}
