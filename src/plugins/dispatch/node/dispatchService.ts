/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Dispatches the requests of one entry instance, to its own targets or to other instances. */

import { systemClock } from '../../../base/clock.js';
import { Disposable, toDisposable } from '../../../base/disposable.js';
import { RefusalReason, RequestError } from '../../../base/verdict.js';
import { ProcessKind } from '../../../kernel/common/pluginRegistry.js';
import { integerSchema, numberSchema, settingsRegistry, urlSchema } from '../../../kernel/common/settingsRegistry.js';
import type { InstanceSettings } from '../../../kernel/node/instanceSettings.js';
import { ILogService } from '../../../kernel/node/logService.js';
import { IPeerTransport } from '../../../kernel/node/peerTransport.js';
import { ISettingsService, registerCrossCheck } from '../../../kernel/node/settingsService.js';
import { RetryBudget } from '../../admission/common/retryBudget.js';
import { DrainScope } from '../../configuration/common/configuration.js';
import { IEntryConfiguration, type ReportPart } from '../../configuration/common/entryConfiguration.js';
import type { DispatchRequest, DispatchResult, IDispatch, ResponseSink } from '../common/dispatch.js';
import { StartTrackingSink } from '../common/forwardingSink.js';
import { durationMsSchema } from '../common/target.js';
import type { DirectoryEntry } from '../../membership/common/entryReport.js';
import { planSpill } from '../common/spill.js';
import { ITargetOwnership } from '../common/targetOwnership.js';
import { PlatformListPoller } from './platformListPoller.js';
import { serveSpilledRequests, spillRequest } from './spillTransport.js';
import { ServiceDispatcher } from './serviceDispatcher.js';

const REFRESH_INTERVAL_MS = 100;
const DRAIN_POLL_MS = 50;

/** Section `[service.NAME]`. */
interface ServiceSettings {
	readonly maxQueued: number;
	readonly maxBodyBytes: number;
	readonly deadlineMs: number;
	readonly typicalWorkMs: number;
	readonly slowStartMs: number;
	readonly cancelGraceMs: number;
	readonly retryRatio: number;
}

/** Section `[platform]`. */
interface PlatformSettings {
	readonly listUrl: string;
}

settingsRegistry.register({
	name: 'platform',
	named: false,
	kinds: [ProcessKind.Entry],
	description: 'Data that the platform provides.',
	keys: { listUrl: { schema: urlSchema, description: 'URL of the list of targets.' } }
});

settingsRegistry.register({
	name: 'service',
	named: true,
	kinds: [ProcessKind.Entry],
	description: 'One section for each service that callers can use.',
	keys: {
		maxQueued: {
			schema: integerSchema(0, 100000),
			description: 'Maximum number of requests queued for a slot, 0 to 100000.',
			default: '1000'
		},
		maxBodyBytes: {
			schema: integerSchema(0, 67108864),
			description: 'Maximum size of a request body, 0 to 67108864 bytes.',
			default: '1048576'
		},
		deadlineMs: {
			schema: integerSchema(10, 3600000),
			description: 'Maximum time to the start of the response, for requests without a deadline, 10 to 3600000 ms.',
			default: '10000'
		},
		typicalWorkMs: {
			schema: integerSchema(1, 3600000),
			description: 'Initial estimate of the time for which a request occupies a slot, 1 to 3600000 ms.',
			default: '50'
		},
		slowStartMs: {
			schema: durationMsSchema,
			description:
				'Time over which the usable slots of a new or readmitted target grow to their full number, 0 to 3600000 ms.',
			default: '2000'
		},
		cancelGraceMs: {
			schema: durationMsSchema,
			description: 'Time for which a cancelled or failed request keeps its slot, 0 to 3600000 ms.',
			default: '100'
		},
		retryRatio: {
			schema: numberSchema(0, 1),
			description: 'Number of retries allowed per first attempt, 0 to 1.',
			default: '0.1'
		}
	}
});

registerCrossCheck([ProcessKind.Entry], settings =>
	settings.namedSections('service').size > 0
		? []
		: [{ section: 'service.NAME', message: 'is missing; at least one service is needed' }]
);

/** Implements dispatch with one `ServiceDispatcher` for each configured service. */
export class DispatchService extends Disposable implements IDispatch {
	private readonly _services = new Map<string, ServiceDispatcher>();
	/** Budgets for sending requests that may have run at another instance to a further one, by service and group. */
	private readonly _spillRetryBudgets = new Map<string, RetryBudget>();
	private readonly _settings: ReadonlyMap<string, ServiceSettings>;
	private readonly _platformList: PlatformListPoller;
	private readonly _hall: string;
	private _activeSpilledRequests = 0;
	private _isDraining = false;

	constructor(
		@ISettingsService settings: ISettingsService,
		@IEntryConfiguration private readonly _configuration: IEntryConfiguration,
		@ITargetOwnership private readonly _ownership: ITargetOwnership,
		@IPeerTransport private readonly _transport: IPeerTransport,
		@ILogService log: ILogService
	) {
		super();
		this._hall = settings.section<InstanceSettings>('instance').hall;
		this._settings = settings.namedSections<ServiceSettings>('service');
		for (const [service, policy] of this._settings) {
			const dispatcher = new ServiceDispatcher(
				{ ...policy, service, initialServiceMs: policy.typicalWorkMs },
				{
					owns: target => this._ownership.owns(target),
					isDrained: target => this._isDrained(target),
					weightOf: group => this._configuration.table?.group(group)?.share ?? 1
				}
			);
			this._services.set(service, this._register(dispatcher));
		}
		this._platformList = this._register(
			new PlatformListPoller(settings.section<PlatformSettings>('platform').listUrl, log)
		);
		this._register(
			this._platformList.onDidRead(targets => {
				for (const [service, dispatcher] of this._services) {
					dispatcher.updateTargets(targets.filter(item => item.hall === this._hall && item.service === service));
				}
			})
		);
		this._register(this._configuration.onDidChange(() => this._refresh()));
		this._register(this._ownership.onDidChange(() => this._refresh()));
		this._configuration.addReportPart(() => this._reportPart());
		serveSpilledRequests(this._transport, (request, sink, mayQueue) =>
			this._handleSpilledRequest(request, sink, mayQueue)
		);
		const timer = setInterval(() => this._refresh(), REFRESH_INTERVAL_MS);
		this._register(toDisposable(() => clearInterval(timer)));
	}

	/** Starts polling the platform's list of targets; resolves after the first poll, successful or not. */
	start(): Promise<void> {
		return this._platformList.start();
	}

	/** Refuses further requests of other instances and waits until the accepted ones have ended. */
	async drain(): Promise<void> {
		this._isDraining = true;
		while (this._activeSpilledRequests > 0) {
			await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
		}
		// Allows the last messages of the response streams to be sent.
		await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
	}

	isReady(): boolean {
		const hasSlotsInRegion = (service: string): boolean => {
			const serviceLoads = this._configuration.loads?.services.find(item => item.service === service);
			return serviceLoads !== undefined && serviceLoads.slots.some(slots => slots > 0);
		};
		return [...this._services].every(
			([service, dispatcher]) => dispatcher.capacity().slots > 0 || hasSlotsInRegion(service)
		);
	}

	hasService(service: string): boolean {
		return this._services.has(service);
	}

	get services(): readonly string[] {
		return [...this._services.keys()];
	}

	maxBodyBytes(service: string): number {
		return this._settings.get(service)!.maxBodyBytes;
	}

	defaultDeadlineMs(service: string): number {
		return this._settings.get(service)!.deadlineMs;
	}

	async dispatch(request: DispatchRequest, sink: ResponseSink): Promise<DispatchResult> {
		const dispatcher = this._getDispatcher(request.service);
		if (!dispatcher.hasFreeSlot()) {
			const mayQueue = dispatcher.capacity().slots === 0;
			const spilled = await this._trySpill(request, sink, mayQueue);
			if (spilled) {
				return spilled;
			}
		}
		try {
			return await dispatcher.dispatch(request, sink);
		} catch (error) {
			if (!isNotRun(error) || dispatcher.capacity().slots > 0) {
				throw error;
			}
			// All owned targets became unavailable while the request was queued.
			const spilled = await this._trySpill(request, sink, true);
			if (!spilled) {
				throw error;
			}
			return spilled;
		}
	}

	/**
	 * Tries other instances in turn; returns undefined if none accepted the request, so that it has not run.
	 * @throws RequestError if it may have run at one of them, or can't be sent again
	 */
	private async _trySpill(
		request: DispatchRequest,
		sink: ResponseSink,
		mayQueue: boolean
	): Promise<DispatchResult | undefined> {
		const arrivedAt = systemClock.now();
		const candidates = this._spillCandidates(request.service, mayQueue);
		const trackedSink = new StartTrackingSink(sink);
		const retryBudget = this._spillRetryBudgetOf(request);
		let lostRun: RequestError | undefined;
		if (candidates.length > 0) {
			retryBudget.recordFirstAttempt();
		}
		for (const { identity } of candidates) {
			try {
				const target = await spillRequest(this._transport, identity.peerAddress, request, trackedSink, mayQueue);
				return { target, status: 0, totalMs: systemClock.now() - arrivedAt, queuedMs: 0 };
			} catch (error) {
				const mayHaveRun = error instanceof RequestError && error.verdict === 'may-have-run';
				const isRepeatable = request.isRepeatable && !trackedSink.isStarted && !request.signal.aborted;
				const canTryNext = isNotRun(error) || (mayHaveRun && isRepeatable && retryBudget.tryTake());
				if (!canTryNext || request.signal.aborted) {
					throw error;
				}
				lostRun = mayHaveRun ? error : lostRun;
			}
		}
		if (lostRun) {
			throw lostRun;
		}
		return undefined;
	}

	private _spillRetryBudgetOf({ service, group }: DispatchRequest): RetryBudget {
		const key = `${service} ${group}`;
		let budget = this._spillRetryBudgets.get(key);
		if (!budget) {
			budget = new RetryBudget(this._settings.get(service)!.retryRatio);
			this._spillRetryBudgets.set(key, budget);
		}
		return budget;
	}

	/** @param mayQueue whether the other instance may queue the request if it has no free slot */
	private _spillCandidates(service: string, mayQueue: boolean): readonly DirectoryEntry[] {
		const { identity, directory, loads } = this._configuration;
		const plan = planSpill(service, identity, directory?.entries ?? [], loads, Math.random);
		return mayQueue ? plan.queueCandidates : plan.freeSlotCandidates;
	}

	/** Dispatches a request of another instance; resolves with the name of the target. */
	private async _handleSpilledRequest(
		request: DispatchRequest,
		sink: ResponseSink,
		mayQueue: boolean
	): Promise<string> {
		const dispatcher = this._getDispatcher(request.service);
		if (this._isDraining || (!mayQueue && !dispatcher.hasFreeSlot())) {
			throw new RequestError('not-run', RefusalReason.NoCapacity, 503, 'no free slot at this instance');
		}
		this._activeSpilledRequests++;
		try {
			return (await dispatcher.dispatch(request, sink)).target;
		} finally {
			this._activeSpilledRequests--;
		}
	}

	private _getDispatcher(service: string): ServiceDispatcher {
		const dispatcher = this._services.get(service);
		if (!dispatcher) {
			const message = `unknown service '${service}'; known services: ${this.services.join(', ')}`;
			throw new RequestError('not-run', RefusalReason.UnknownService, 404, message);
		}
		return dispatcher;
	}

	private _isDrained(target: string): boolean {
		const table = this._configuration.table;
		return (
			table !== undefined &&
			(table.isDrained(DrainScope.Target, target) || table.isDrained(DrainScope.Hall, this._hall))
		);
	}

	private _refresh(): void {
		this._services.forEach(dispatcher => dispatcher.refresh());
	}

	private _reportPart(): ReportPart {
		const all = [...this._services];
		const counts = all.map(([, dispatcher]) => dispatcher.takeCounts());
		return {
			capacity: all.map(([service, dispatcher]) => ({ service, ...dispatcher.capacity() })),
			demand: all.flatMap(([service, dispatcher]) => dispatcher.demand().map(item => ({ service, ...item }))),
			answers: counts.reduce((sum, count) => sum + count.answers, 0),
			failures: counts.reduce((sum, count) => sum + count.failures, 0)
		};
	}
}

function isNotRun(error: unknown): boolean {
	return error instanceof RequestError && error.verdict === 'not-run';
}
