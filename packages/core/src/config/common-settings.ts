/**
 * Settings that must be equal on every daemon, because one daemon waits for
 * periods that another has promised to keep. The platform stores one copy, and
 * each daemon compares its own settings with it.
 */
import {z} from 'zod';

export const commonSettingsSchema = z.strictObject({
	durations: z.array(
		z.strictObject({
			/** Path of the setting, such as ownership.leaseMs. */
			path: z.string(),
			ms: z.number().nonnegative(),
		}),
	),
});

/** The settings that the whole fleet uses. */
export type CommonSettings = Readonly<z.infer<typeof commonSettingsSchema>>;

/** A setting whose value on one daemon differs from the fleet's. */
export type SettingDifference = {
	readonly path: string;
	readonly ownMs: number;
	readonly fleetMs: number;
};

/**
 * Settings that are present on both sides with different values. A setting that
 * only one side has, such as one added by a newer release, is not a difference.
 */
export function settingDifferences(
	own: CommonSettings,
	fleet: CommonSettings,
): readonly SettingDifference[] {
	return own.durations.flatMap(({path, ms}) => {
		const fleetSetting = fleet.durations.find((each) => each.path === path);
		return fleetSetting === undefined || fleetSetting.ms === ms
			? []
			: [{path, ownMs: ms, fleetMs: fleetSetting.ms}];
	});
}
