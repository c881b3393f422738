/** Identifiers: opaque strings that are compared for equality only. */

/** A machine in the platform's host list. */
export type HostId = string;
/** One run of a daemon process; changes on every start. */
export type NodeIncarnation = string;
/** A model engine or another service that requests are sent to. */
export type BackendServerId = string;
/** A set of interchangeable backend servers. */
export type PoolName = string;
/** A set of hosts that can fail together. */
export type FailureDomain = string;
/** A set of failure domains in geographic proximity. */
export type Region = string;
export type ModelName = string;
export type AdapterName = string;
export type ModelVersion = string;
export type TeamName = string;
export type EventId = string;
export type TemplateName = string;
/** A planned replica of a model on one backend server. */
export type SlotId = string;
/** The position of a record in the log. */
export type LogOffset = number;
