import {
  type AdapterName,
  type EngineSpec,
  type ModelName,
  type ModelSpec,
  type ServiceName,
  type ServiceSpec,
} from '@mimosatack/types';

const ADAPTER_NAME = /^a(\d+)$/;

/** Looks up the configuration of engines and models. */
export class ModelCatalogue {
  private readonly engines = new Map<ServiceName, EngineSpec>();
  private readonly models = new Map<ServiceName, Map<ModelName, ModelSpec>>();

  constructor(services: readonly ServiceSpec[]) {
    this.replace(services);
  }

  replace(services: readonly ServiceSpec[]): void {
    this.engines.clear();
    this.models.clear();
    services.forEach(({name, engine}) => {
      if (!engine) return;
      this.engines.set(name, engine);
      this.models.set(
        name,
        new Map(engine.models.map(model => [model.model, model])),
      );
    });
  }

  findEngine(service: ServiceName): EngineSpec | undefined {
    return this.engines.get(service);
  }

  findModel(service: ServiceName, model: ModelName): ModelSpec | undefined {
    return this.models.get(service)?.get(model);
  }

  listModels(): Array<{service: ServiceName; model: ModelName}> {
    return [...this.models].flatMap(([service, models]) =>
      [...models.keys()].map(model => ({service, model})),
    );
  }

  /** Whether the model, and the adapter if one is named, is configured. */
  has(
    service: ServiceName,
    model: ModelName,
    adapter: AdapterName | null,
  ): boolean {
    const spec = this.findModel(service, model);
    if (!spec) return false;
    if (adapter === null) return true;
    const number = Number(ADAPTER_NAME.exec(adapter)?.[1]);
    return number >= 1 && number <= spec.adapterCount;
  }
}
