use super::*;

const SETTINGS: &str = r#"
        host { 
          number = 0
          hosts = 2
          listen = "127.0.0.1:0"
          node_list = "127.0.0.1:1" 
        }
        bounds { parts = 4 }
        units { 
          bytes = 4096 
          most = 8 
          mean = 2 
        }
        plan "basic" { }
        stream "read" { 
          slo_ms = 100 
          expiry_ms = 1000 
          effect = "repeatable" 
        }
        stream "log" { 
          slo_ms = 100 
          expiry_ms = 1000 
          effect = "unrepeatable" 
          in_order = true 
          order_blocks = 40 
        }
        volume "v" { 
          lun = 3 
          plan = "basic" 
          blocks = 1000 
          extent_blocks = 100 
          shards = [5, 7]
          hosts = 1 
          reads = "read" 
          writes = "log" 
          large_reads = "log"
          large_from_blocks = 64 
        }"#;

/// A part that crossed an extent boundary would be sent to the wrong shard, and one that crossed a granule boundary would be ordered by the
/// wrong key.
#[test]
fn a_command_is_split_at_extents_and_order_granules() {
    let layout = Layout::new(&HostSettings::parse("test", SETTINGS).unwrap());
    // Traffic class, first block and blocks of a command; first block, blocks, shard and units of each expected part.
    type Case<'a> = (usize, u64, u32, &'a [(u64, u32, u32, f64)]);
    let cases: &[Case] = &[
        (0, 10, 8, &[(10, 8, 5, 1.0)]),
        (0, 96, 8, &[(96, 4, 5, 1.0), (100, 4, 7, 1.0)]),
        (0, 0, 250, &[(0, 100, 5, 8.0), (100, 100, 7, 8.0), (200, 50, 5, 7.0)]),
        (1, 38, 4, &[(38, 2, 5, 1.0), (40, 2, 5, 1.0)]),
        (1, 70, 40, &[(70, 10, 5, 2.0), (80, 20, 5, 3.0), (100, 10, 7, 2.0)]),
    ];
    for (traffic_class, block, blocks, expected) in cases {
        let parts = layout.parts(0, *traffic_class, *block, *blocks);
        let found: Vec<_> =
            parts.iter().map(|part| (part.block, part.blocks, part.shard.0, part.units)).collect();
        assert_eq!(&found, expected, "class {traffic_class} at {block} for {blocks}");
    }
    assert_eq!(layout.parts(0, 1, 41, 1)[0].key, layout.parts(0, 1, 79, 1)[0].key, "one granule, one key");
    assert_ne!(layout.parts(0, 1, 39, 1)[0].key, layout.parts(0, 1, 40, 1)[0].key);
    assert_eq!(layout.max_blocks(0), 120, "120 blocks touch at most four granules of 40");
    assert_eq!(
        (
            layout.traffic_class(0, Access::Write, 64),
            layout.traffic_class(0, Access::Read, 63),
            layout.traffic_class(0, Access::Read, 64)
        ),
        (1, 0, 1)
    );
}
